package ironwind.model;

/** Role that a host reports for itself. */
public enum Role {
    /** The host reported no role. */
    UNKNOWN,
    /** Accepts writes. */
    PRIMARY,
    /** Follows a primary and serves reads only. */
    REPLICA
}
