package ironwind.idle;

/**
 * How well a connection is known, from least to best: the order in which they give way to others.
 */
public enum Standing {
    /** Told that it ends; only its farewell is on the way. */
    PARTING,
    /** Its start-up message has not come whole. */
    STRANGER,
    /** It has started up and asked nothing. */
    GREETED,
    /** It has had an answer. */
    SERVED,
    /**
     * A message has begun on it, and no answer is owed: it never gives way, but the message may
     * take too long.
     */
    HALFWAY,
    /** An answer is owed: it never gives way, and its RPC's deadline is its time. */
    BUSY
}
