package ironwind.net;

import ironwind.model.Moment;
import ironwind.model.Span;

/**
 * Estimates how long data that is read from a socket now may have waited there because the event
 * loop was blocked. The loop ticks at an interval; while a tick is overdue, it has polled no socket
 * since that tick was due. A client's deadline counts from when it wrote the request: without this,
 * RPCs that arrive while the loop is blocked (at start-up, by a garbage collection or by other
 * processes on the same core) would be answered after their client's deadline. The estimate is an
 * upper bound, so an RPC that arrives at the end of such a pause gets less time than it has left.
 */
final class LoopLag {
    private final Span interval;
    private Moment nextTickDue;

    /**
     * Creates an estimate.
     *
     * @param interval the time between two ticks
     * @param start when sockets were opened, so that no data can have waited before
     */
    LoopLag(Span interval, Moment start) {
        this.interval = interval;
        this.nextTickDue = start;
    }

    /** Records a tick: all sockets have been polled since it was due. */
    void recordTick(Moment now) {
        nextTickDue = now.plus(interval);
    }

    /** Returns how long the next tick is overdue; zero if it is not. */
    Span lagAt(Moment now) {
        return now.after(nextTickDue) ? now.since(nextTickDue) : Span.ZERO;
    }
}
