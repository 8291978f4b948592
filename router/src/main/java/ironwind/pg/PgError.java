package ironwind.pg;

/**
 * The fields of an ErrorResponse that the router uses. The constants are SQLSTATE codes.
 *
 * @param sqlState the SQLSTATE code, field C
 * @param message the message, field M
 * @param detail the detail, field D; null if absent
 */
public record PgError(String sqlState, String message, String detail) {
    /** SQLSTATE too_many_connections. */
    public static final String TOO_MANY_CONNECTIONS = "53300";

    /** SQLSTATE cannot_connect_now. */
    public static final String CANNOT_CONNECT_NOW = "57P03";

    /** SQLSTATE read_only_sql_transaction: a write reached a host that is not the primary. */
    public static final String READ_ONLY_SQL_TRANSACTION = "25006";

    /** SQLSTATE snapshot_too_old: the host lags too far behind for the request. */
    public static final String SNAPSHOT_TOO_OLD = "72000";

    /** SQLSTATE internal_error. */
    public static final String INTERNAL_ERROR = "XX000";

    /** SQLSTATE statement_completion_unknown: the statement may or may not have run. */
    public static final String STATEMENT_COMPLETION_UNKNOWN = "40003";
}
