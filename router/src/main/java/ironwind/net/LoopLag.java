package ironwind.net;

import ironwind.model.Moment;
import ironwind.model.Span;

/**
 * How long what is read from a socket now may have lain there, as far as the loop itself knows: it
 * was to beat at a time, and has not yet, so it has looked at no socket since. A client counts from
 * when it wrote; guards against RPCs that came while the loop stood still (a start, a collection, a
 * core that others had) and are answered when their client's time is over. Harm: one that came at
 * the end of such a time is given less of its own.
 */
final class LoopLag {
    private final Span every;
    private Moment due;

    /** {@code since}: nothing can have come before. */
    LoopLag(Span every, Moment since) {
        this.every = every;
        this.due = since;
    }

    /** All sockets have been looked at since the beat was due. */
    void recordTick(Moment now) {
        due = now.plus(every);
    }

    Span lagAt(Moment now) {
        return now.after(due) ? now.since(due) : Span.ZERO;
    }
}
