package ironwind.model;

/** How a call-out ended. */
public enum Outcome {
    /** The host served the RPC. */
    OK(false, true),
    /** The host served the RPC, but the router has no memory to hold its answer. */
    UNDELIVERABLE(false, true),
    /** The host answered with an error. */
    ERROR(false, true),
    /** The host rejected the RPC because of overload. */
    OVERLOADED(true, true),
    /** No answer came within the call-out's timeout. */
    TIMED_OUT(false, false),
    /**
     * No connection could be established, or it was lost before the request was written completely.
     */
    CONNECT_FAILED(true, false),
    /** The connection broke after the request was written, or its answer was malformed. */
    CONNECTION_LOST(false, false),
    /** The router cancelled the call-out. */
    CANCELLED(false, false),
    /** The call-out was given up before its request was written. */
    NOT_SENT(true, false),
    /** The host rejected the RPC because it isn't the primary or is too far behind. */
    INELIGIBLE(true, true);

    /** Whether the outcome proves that the RPC did not run on the host. */
    public final boolean provesNotRun;

    /** Whether the host itself answered. */
    public final boolean answered;

    /** Returns whether the host served the RPC. */
    public boolean served() {
        return this == OK || this == UNDELIVERABLE;
    }

    Outcome(boolean provesNotRun, boolean answered) {
        this.provesNotRun = provesNotRun;
        this.answered = answered;
    }
}
