package ironwind.net;

import ironwind.model.Outcome;
import ironwind.pg.PgError;

/** Every way in which a connection, or one use of it, can end. */
public enum Ending {
    // uses of a connection to a host that the host answered
    SERVED,
    MISSED,
    FAILED,
    TURNED_AWAY,
    // connections to a host that were to carry a request
    REFUSED,
    NEVER_UP,
    NO_SOCKET,
    BROKE_UNWRITTEN,
    BROKE_WRITTEN,
    GARBLED,
    // what the router gave up itself
    TIMED_OUT,
    CALLED_OFF,
    LAPSED,
    // connections that carried nothing then
    IDLE_CLOSED,
    CLOSED_BY_HOST,
    SURPLUS,
    // connections of clients
    CLIENT_LEFT,
    CLIENT_DISMISSED,
    CLIENT_MALFORMED;

    /**
     * What the use of a connection comes to for the decision module; null where no call-out can be
     * on it.
     */
    public Outcome outcome() {
        return switch (this) {
            case SERVED -> Outcome.OK;
            case MISSED -> Outcome.INELIGIBLE;
            case FAILED -> Outcome.ERROR;
            case TURNED_AWAY -> Outcome.OVERLOADED;
            case REFUSED, NEVER_UP, NO_SOCKET, BROKE_UNWRITTEN -> Outcome.CONNECT_FAILED;
            case BROKE_WRITTEN, GARBLED -> Outcome.CONNECTION_LOST;
            case TIMED_OUT -> Outcome.TIMED_OUT;
            case CALLED_OFF -> Outcome.CANCELLED;
            case LAPSED -> Outcome.NOT_SENT;
            case IDLE_CLOSED,
                    CLOSED_BY_HOST,
                    SURPLUS,
                    CLIENT_LEFT,
                    CLIENT_DISMISSED,
                    CLIENT_MALFORMED ->
                    null;
        };
    }

    /** How an answer that is an error ends the use of its connection. */
    static Ending of(PgError failure) {
        return switch (failure.sqlState()) {
            case PgError.READ_ONLY_SQL_TRANSACTION, PgError.SNAPSHOT_TOO_OLD -> MISSED;
            case PgError.TOO_MANY_CONNECTIONS, PgError.CANNOT_CONNECT_NOW -> TURNED_AWAY;
            default -> FAILED;
        };
    }
}
