package ironwind.model;

/** How a call-out ended. */
public enum Outcome {
    OK(false, true),
    ERROR(false, true),
    FULL(true, true),
    EXPIRED(false, false),
    UNREACHED(true, false),
    BROKEN(false, false),
    CANCELLED(false, false),
    UNSENT(true, false),
    MISS(true, true);

    /** Proves that the RPC never ran there. */
    public final boolean provesUnrun;

    /** The host itself answered. */
    public final boolean answered;

    Outcome(boolean provesUnrun, boolean answered) {
        this.provesUnrun = provesUnrun;
        this.answered = answered;
    }
}
