package ironwind.idle;

/**
 * State of a client connection. The constants are in eviction order: those declared first are
 * evicted first when the router is full.
 */
public enum ConnectionState {
    /** A fatal error was written; the connection stays open so that the client can read it. */
    CLOSING("parting"),
    /** The start-up message has not arrived completely. */
    STARTUP("stranger"),
    /** Start-up is complete and no RPC has been answered. */
    AWAITING_FIRST_RPC("greeted"),
    /** At least one RPC was answered and none is in progress. */
    IDLE("served"),
    /**
     * Part of a message has arrived and no answer is outstanding. Never evicted, but subject to the
     * message timeout.
     */
    RECEIVING("halfway"),
    /**
     * An answer is outstanding or not sent yet, or commands wait to be executed. Never evicted; the
     * RPC's own deadline and the slow reader timeout limit how long that lasts.
     */
    BUSY("busy");

    private final String label;

    ConnectionState(String label) {
        this.label = label;
    }

    /**
     * Returns the name that {@code SHOW clients} prints; it may differ from the constant's name.
     */
    public String label() {
        return label;
    }
}
