package ironwind.model;

/** What a repeat of a method's RPC may do. */
public enum Effect {
    /** May run again. */
    IDEMPOTENT,
    /** Carries a mark by which a repeat is known, for a while and within a scope. */
    TOKENED,
    /** Must never run twice. */
    NON_IDEMPOTENT
}
