package ironwind.model;

/** How recent the data must be that an RPC of a method is answered from. */
public enum Consistency {
    /** A write, which only the primary accepts. */
    WRITE,
    /** A read that must see all commits made before the RPC arrived. */
    STRONG,
    /** A read that must see the writes of its own session. */
    SESSION,
    /** A read of data that is no older than the method's maximum staleness when it is sent. */
    BOUNDED,
    /** A read that any member of the group can answer. */
    ANY
}
