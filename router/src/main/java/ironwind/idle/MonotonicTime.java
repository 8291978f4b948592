package ironwind.idle;

import ironwind.model.Span;

/**
 * Time that connection timeouts are measured in, in microseconds. It never goes back and advances
 * only while the router runs. Without this, a step of the clock or a pause of the process (a
 * suspended machine, a long garbage collection) would make all connections look as if they had been
 * silent for that long, although their input is waiting to be read.
 */
public final class MonotonicTime {
    private final long maxStepUs;
    private long lastReadingUs;
    private long now;
    private long skippedUs;
    private boolean started;

    /**
     * Creates a time that starts at zero.
     *
     * @param maxStep the most by which one reading advances the time
     */
    public MonotonicTime(Span maxStep) {
        this.maxStepUs = maxStep.us();
    }

    /**
     * Advances to a reading of a clock.
     *
     * @param readingUs microseconds since any fixed origin
     * @return microseconds since the first reading, without the skipped ones
     */
    public long advance(long readingUs) {
        if (started) {
            long elapsed = Math.max(0, readingUs - lastReadingUs);
            now += Math.min(elapsed, maxStepUs);
            skippedUs += Math.max(0, elapsed - maxStepUs);
        }
        started = true;
        lastReadingUs = readingUs;
        return now;
    }

    /**
     * Returns how much time was skipped because single steps were longer than the longest allowed.
     */
    public Span skipped() {
        return new Span(skippedUs);
    }
}
