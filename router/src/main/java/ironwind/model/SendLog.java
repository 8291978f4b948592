package ironwind.model;

/** The times of a host's latest sends. State only. */
public final class SendLog {
    private final Moment[] times = new Moment[128];
    private int head;
    private int count;

    public void note(Moment time) {
        times[head] = time;
        head = (head + 1) % times.length;
        count = Math.min(times.length, count + 1);
    }

    public Moment last() {
        return count == 0 ? Moment.NEVER : back(0);
    }

    /** How many were no longer ago than the window; at most as many as are kept. */
    public int within(Span window, Moment now) {
        int found = 0;
        while (found < count && !now.since(back(found)).longerThan(window)) {
            found++;
        }
        return found;
    }

    private Moment back(int steps) {
        return times[(head - 1 - steps + 2 * times.length) % times.length];
    }
}
