package ironwind.model;

/** Whether an RPC of a method may run more than once. */
public enum Idempotency {
    /** May run any number of times. */
    IDEMPOTENT,
    /**
     * Carries a token by which hosts recognize a repeat, within a time window and within its group
     * or everywhere.
     */
    TOKENED,
    /** Must never run twice. */
    NON_IDEMPOTENT
}
