package ironwind.model;

/** A token bucket. Holds the count only; the caller determines refill rate and capacity. */
public final class TokenBucket {
    private double tokens;

    /** Creates a bucket that holds the given number of tokens. */
    public TokenBucket(double tokens) {
        this.tokens = tokens;
    }

    /** Adds tokens, up to the given capacity. */
    public void refill(double added, double capacity) {
        tokens = Math.min(capacity, tokens + added);
    }

    /** Takes one whole token if the bucket holds one, and returns whether it did. */
    public boolean tryTake() {
        boolean enough = tokens >= 1;
        tokens -= enough ? 1 : 0;
        return enough;
    }

    /** Returns the fraction of a token that is missing until one can be taken, 0 if none is. */
    public double deficit() {
        return Math.max(0, 1 - tokens);
    }

    /** Whether the bucket holds less than one whole token. */
    public boolean isEmpty() {
        return tokens < 1;
    }
}
