package ironwind.net;

import ironwind.model.Moment;
import ironwind.model.Span;

/**
 * Estimates how long data that is read from a socket now may have waited there because the event
 * loop did not run: the process was stopped or short of CPU, or the loop was busy. A client's
 * deadline counts from when it wrote the request, and without this, RPCs that arrived meanwhile
 * would be answered after it. The estimate is an upper bound, so an RPC that arrives at the end of
 * such a pause gets less time than it has left.
 *
 * <p>It needs to know when sockets were polled. That a timer runs shows nothing of it: a poll that
 * was interrupted while the process was stopped returns without a look at the sockets if its time
 * is over, and timers run next.
 */
final class LoopLag {
    private final Span interval;
    private Moment polledSince;

    /**
     * Creates an estimate.
     *
     * @param interval the longest time from one call of {@link #recordPoll} to the next
     * @param start when sockets were opened, so that no data can have waited before
     */
    LoopLag(Span interval, Moment start) {
        this.interval = interval;
        this.polledSince = start;
    }

    /** Records that all sockets have been polled since a time. */
    void recordPoll(Moment since) {
        polledSince = since;
    }

    /** Returns how long the next record of a poll is overdue; zero if it is not. */
    Span lagAt(Moment now) {
        Moment due = polledSince.plus(interval);
        return now.after(due) ? now.since(due) : Span.ZERO;
    }
}
