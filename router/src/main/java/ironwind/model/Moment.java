package ironwind.model;

/** A point in time on the router's clock, in microseconds. Log positions are moments too. */
public record Moment(long us) implements Comparable<Moment> {
    /** Before all that can happen. */
    public static final Moment NEVER = new Moment(Long.MIN_VALUE / 4);

    public static Moment ofMillis(long ms) {
        return new Moment(ms * 1_000);
    }

    public Moment plus(Span span) {
        return new Moment(us + span.us());
    }

    public Moment minus(Span span) {
        return new Moment(us - span.us());
    }

    public Span since(Moment earlier) {
        return new Span(us - earlier.us);
    }

    public boolean before(Moment other) {
        return us < other.us;
    }

    public boolean after(Moment other) {
        return us > other.us;
    }

    public Moment later(Moment other) {
        return us >= other.us ? this : other;
    }

    public Moment earlier(Moment other) {
        return us <= other.us ? this : other;
    }

    @Override
    public int compareTo(Moment other) {
        return Long.compare(us, other.us);
    }
}
