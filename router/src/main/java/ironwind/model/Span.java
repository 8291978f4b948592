package ironwind.model;

/** A length of time, in microseconds. */
public record Span(long us) implements Comparable<Span> {
    public static final Span ZERO = new Span(0);

    public static Span ofMillis(long ms) {
        return new Span(ms * 1_000);
    }

    public Span times(double factor) {
        return new Span((long) (us * factor));
    }

    public Span plus(Span other) {
        return new Span(us + other.us);
    }

    public Span minus(Span other) {
        return new Span(us - other.us);
    }

    public boolean shorterThan(Span other) {
        return us < other.us;
    }

    public boolean longerThan(Span other) {
        return us > other.us;
    }

    public Span shorter(Span other) {
        return us <= other.us ? this : other;
    }

    public Span longer(Span other) {
        return us >= other.us ? this : other;
    }

    /** This span as a multiple of another. */
    public double over(Span other) {
        return (double) us / Math.max(1, other.us);
    }

    @Override
    public int compareTo(Span other) {
        return Long.compare(us, other.us);
    }
}
