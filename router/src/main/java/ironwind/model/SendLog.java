package ironwind.model;

/** Ring buffer with the times of the latest 128 sends to a host. */
public final class SendLog {
    private final Moment[] times = new Moment[128];
    private int nextIndex;
    private int count;

    /** Records a send; times must not decrease. */
    public void record(Moment time) {
        times[nextIndex] = time;
        nextIndex = (nextIndex + 1) % times.length;
        count = Math.min(times.length, count + 1);
    }

    /** Returns the time of the last send, or {@link Moment#NEVER} if there was none. */
    public Moment last() {
        return count == 0 ? Moment.NEVER : recent(0);
    }

    /** Returns how many sends are no older than the window; at most the number kept. */
    public int countWithin(Span window, Moment now) {
        int recentCount = 0;
        while (recentCount < count && !now.since(recent(recentCount)).longerThan(window)) {
            recentCount++;
        }
        return recentCount;
    }

    private Moment recent(int stepsBack) {
        return times[(nextIndex - 1 - stepsBack + 2 * times.length) % times.length];
    }
}
