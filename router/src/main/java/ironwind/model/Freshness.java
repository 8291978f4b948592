package ironwind.model;

/** How recent the data must be that answers a method. */
public enum Freshness {
    /** Only the primary takes it. */
    WRITE,
    /** Must see all commits before it arrived. */
    FRESH,
    /** Must see the session's own writes. */
    SESSION,
    /** Data no older than the method's bound when it is sent. */
    BOUNDED,
    /** Any member will do. */
    ANY
}
