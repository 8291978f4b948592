package ironwind.net;

import ironwind.model.Outcome;
import ironwind.pg.PgError;

/** How a connection, or one request on a connection to a host, ended. */
public enum Ending {
    // Requests that the host answered.
    /** The host served the request. */
    SERVED("served"),
    /** The host rejected the request because it isn't the primary or is too far behind. */
    INELIGIBLE("missed"),
    /** The host answered with any other error. */
    FAILED("failed"),
    /** The host rejected the request because of overload. */
    OVERLOADED("turned_away"),

    // Requests whose connection could not be established or was lost.
    /** The host refused the connection. */
    CONNECTION_REFUSED("refused"),
    /** The connection failed in another way, or was not ready for requests in time. */
    NOT_ESTABLISHED("never_up"),
    /** The router has no socket or no address for the connection. */
    NO_SOCKET("no_socket"),
    /** The connection was lost or unusable before the request was written completely. */
    LOST_BEFORE_SENT("broke_unwritten"),
    /** The connection was lost after the request was written, before the answer was complete. */
    LOST_AFTER_SENT("broke_written"),
    /** The answer is malformed, incomplete or too large. */
    MALFORMED_ANSWER("garbled"),

    // Requests that the router gave up.
    /** No answer came within the timeout. */
    TIMED_OUT("timed_out"),
    /** The decision logic cancelled the request. */
    CANCELLED("called_off"),
    /** The request was given up before it was written. */
    NOT_SENT("lapsed"),

    // Connections to hosts that carried no request when they ended.
    /** The router closed the idle connection. */
    IDLE_CLOSED("idle_closed"),
    /** The host closed the idle connection. */
    CLOSED_BY_HOST("closed_by_host"),
    /** The host sent data that belongs to no request. */
    UNSOLICITED_DATA("surplus"),

    // Connections of clients.
    /** The client disconnected. */
    CLIENT_LEFT("client_left"),
    /** The router closed the connection, for example at a timeout or while draining. */
    CLIENT_CLOSED_BY_ROUTER("client_dismissed"),
    /**
     * The router evicted the connection during the grace period after a fatal error. One that
     * outlasts the grace period ends as {@link #CLIENT_CLOSED_BY_ROUTER}.
     */
    CLIENT_FATAL_ERROR("client_malformed");

    private final String label;

    Ending(String label) {
        this.label = label;
    }

    /**
     * Returns the name that {@code SHOW stats} prints behind {@code ended_}; it may differ from the
     * constant's name.
     */
    public String label() {
        return label;
    }

    /**
     * Returns the outcome that is reported to the decision logic; null if the ending can't be that
     * of a call-out.
     */
    public Outcome outcome() {
        return switch (this) {
            case SERVED -> Outcome.OK;
            case INELIGIBLE -> Outcome.INELIGIBLE;
            case FAILED -> Outcome.ERROR;
            case OVERLOADED -> Outcome.OVERLOADED;
            case CONNECTION_REFUSED, NOT_ESTABLISHED, NO_SOCKET, LOST_BEFORE_SENT ->
                    Outcome.CONNECT_FAILED;
            case LOST_AFTER_SENT, MALFORMED_ANSWER -> Outcome.CONNECTION_LOST;
            case TIMED_OUT -> Outcome.TIMED_OUT;
            case CANCELLED -> Outcome.CANCELLED;
            case NOT_SENT -> Outcome.NOT_SENT;
            case IDLE_CLOSED,
                    CLOSED_BY_HOST,
                    UNSOLICITED_DATA,
                    CLIENT_LEFT,
                    CLIENT_CLOSED_BY_ROUTER,
                    CLIENT_FATAL_ERROR ->
                    null;
        };
    }

    /** Returns the ending of a request that the host answered with this error. */
    static Ending of(PgError error) {
        return switch (error.sqlState()) {
            case PgError.READ_ONLY_SQL_TRANSACTION, PgError.SNAPSHOT_TOO_OLD -> INELIGIBLE;
            case PgError.TOO_MANY_CONNECTIONS, PgError.CANNOT_CONNECT_NOW -> OVERLOADED;
            default -> FAILED;
        };
    }
}
