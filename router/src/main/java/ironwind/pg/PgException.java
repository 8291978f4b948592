package ironwind.pg;

/**
 * Thrown for input that violates the protocol, is malformed, exceeds a limit or is not supported.
 * It carries the SQLSTATE that is reported to the client, and no stack trace.
 */
public final class PgException extends RuntimeException {
    /** SQLSTATE protocol_violation. */
    public static final String PROTOCOL_VIOLATION = "08P01";

    /** SQLSTATE program_limit_exceeded: a message is too large. */
    public static final String PROGRAM_LIMIT_EXCEEDED = "54000";

    /** SQLSTATE feature_not_supported. */
    public static final String FEATURE_NOT_SUPPORTED = "0A000";

    /** SQLSTATE syntax_error. */
    public static final String SYNTAX_ERROR = "42601";

    /** SQLSTATE idle_session_timeout. */
    public static final String IDLE_SESSION_TIMEOUT = "57P05";

    private static final long serialVersionUID = 1L;

    /** The SQLSTATE code, five characters. */
    public final String sqlState;

    /** Creates an exception without a stack trace. */
    public PgException(String sqlState, String message) {
        super(message, null, false, false);
        this.sqlState = sqlState;
    }
}
