package ironwind.model;

/**
 * A length of time.
 *
 * @param us microseconds; may be negative
 */
public record Span(long us) implements Comparable<Span> {
    /** No time at all. */
    public static final Span ZERO = new Span(0);

    /** Returns a span of this many milliseconds. */
    public static Span ofMillis(long ms) {
        return new Span(ms * 1_000);
    }

    /** Returns the span multiplied by a factor, truncated to whole microseconds. */
    public Span times(double factor) {
        return new Span((long) (us * factor));
    }

    /** Returns the sum of both spans. */
    public Span plus(Span other) {
        return new Span(us + other.us);
    }

    /** Returns the span reduced by another; negative if that one is longer. */
    public Span minus(Span other) {
        return new Span(us - other.us);
    }

    /** Whether this span is strictly shorter. */
    public boolean shorterThan(Span other) {
        return us < other.us;
    }

    /** Whether this span is strictly longer. */
    public boolean longerThan(Span other) {
        return us > other.us;
    }

    /** Returns the shorter of both. */
    public Span shorter(Span other) {
        return us <= other.us ? this : other;
    }

    /** Returns the longer of both. */
    public Span longer(Span other) {
        return us >= other.us ? this : other;
    }

    /** Returns this span as a multiple of another, which counts as at least 1 microsecond. */
    public double ratioTo(Span other) {
        return (double) us / Math.max(1, other.us);
    }

    @Override
    public int compareTo(Span other) {
        return Long.compare(us, other.us);
    }
}
