package ironwind.model;

/** A bucket of tokens. State only: what fills it, and how far, is the module's to say. */
public final class Bucket {
    private double tokens;

    public Bucket(double tokens) {
        this.tokens = tokens;
    }

    public void fill(double more, double most) {
        tokens = Math.min(most, tokens + more);
    }

    /** Takes a whole token, if there is one. */
    public boolean take() {
        boolean enough = tokens >= 1;
        tokens -= enough ? 1 : 0;
        return enough;
    }

    /** The part of a token that is missing to a whole one. */
    public double missing() {
        return Math.max(0, 1 - tokens);
    }

    public boolean empty() {
        return tokens < 1;
    }
}
