package ironwind.model;

/**
 * A point in time on the router's clock. Log positions are expressed as the time of the last
 * applied commit.
 *
 * @param us microseconds on that clock
 */
public record Moment(long us) implements Comparable<Moment> {
    /** Earlier than every real time. A quarter of the range, so that differences don't overflow. */
    public static final Moment NEVER = new Moment(Long.MIN_VALUE / 4);

    /** Returns the moment at this many milliseconds on the clock. */
    public static Moment ofMillis(long ms) {
        return new Moment(ms * 1_000);
    }

    /** Returns the moment that is later by a span. */
    public Moment plus(Span span) {
        return new Moment(us + span.us());
    }

    /** Returns the moment that is earlier by a span. */
    public Moment minus(Span span) {
        return new Moment(us - span.us());
    }

    /** Returns the time from an earlier moment to this one; negative if that one is later. */
    public Span since(Moment earlier) {
        return new Span(us - earlier.us);
    }

    /** Whether this moment is strictly earlier. */
    public boolean before(Moment other) {
        return us < other.us;
    }

    /** Whether this moment is strictly later. */
    public boolean after(Moment other) {
        return us > other.us;
    }

    /** Returns the later of both. */
    public Moment later(Moment other) {
        return us >= other.us ? this : other;
    }

    /** Returns the earlier of both. */
    public Moment earlier(Moment other) {
        return us <= other.us ? this : other;
    }

    @Override
    public int compareTo(Moment other) {
        return Long.compare(us, other.us);
    }
}
