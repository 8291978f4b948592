package ironwind.model;

/**
 * An adaptive limit on concurrent call-outs to one host or to a pool of hosts. Plain state, written
 * by the decision logic.
 */
public final class ConcurrencyLimit {
    /** Most call-outs in flight; may be fractional, and below 1 for a pool. */
    public double limit;

    /** Smoothed ratio of response times to soft deadlines. */
    public final MovingAverage latencyRatio = new MovingAverage(0);

    /** When the limit was last changed. */
    public Moment changedAt = Moment.NEVER;

    /** For a pool with a limit below 1, the earliest time of its next call-out. */
    public Moment availableAt = Moment.NEVER;

    /** Call-outs in flight in a pool. Unused for a single host, which lists its own. */
    public int inFlight;

    /** Creates a limit with an initial value. */
    public ConcurrencyLimit(double limit) {
        this.limit = limit;
    }
}
