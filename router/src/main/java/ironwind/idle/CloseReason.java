package ironwind.idle;

/**
 * Why the router closes a client connection or refuses it. {@code SHOW idle} prints the constants'
 * names in lower case with the prefix {@code ended_}, and the log prints them unchanged.
 */
public enum CloseReason {
    /** All connections were taken, and this one was evicted for a new one. */
    GAVE_WAY("53300", "terminating idle connection to make room for a new one"),
    /** Refused: all connections are taken and none can be evicted. */
    ALL_BUSY("53300", "too many connections, all of them in use"),
    /** Refused: its address has reached its limit of connections. */
    ADDRESS_FULL("53300", "too many connections from this address"),
    /** Its customer was over its limit of connections, and this one was idle for longest. */
    CUSTOMER_FULL("53300", "too many connections for this customer"),
    /** A start-up or another message did not arrive completely within its timeout. */
    TOO_SLOW("57P05", "terminating connection because a message did not arrive in time"),
    /** It made no request within the timeout of its state. */
    IDLE_TOO_LONG("57P05", "terminating connection due to idle timeout"),
    /** Its socket accepted none of its unsent answers within the timeout. */
    SLOW_READER("57P05", "terminating connection because its answers were not read in time"),
    /** Unsent answers are over their total limit, and its socket accepted none for longest. */
    OWED_TOO_MUCH("53200", "terminating connection because too many answers are unread"),
    /** No memory is left for the message of which a part has arrived. */
    NO_MEMORY("53200", "not enough memory for this message");

    /** SQLSTATE of the fatal error that the client gets, if one can still be sent. */
    public final String sqlState;

    /** Message of that error. */
    public final String message;

    CloseReason(String sqlState, String message) {
        this.sqlState = sqlState;
        this.message = message;
    }
}
