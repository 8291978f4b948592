package ironwind.pg;

/** An ErrorResponse: its SQLSTATE, message, and the field D, null where it has none. */
public record PgError(String code, String message, String detail) {
    public static final String TOO_MANY = "53300";
    public static final String NOT_NOW = "57P03";
    public static final String MISPLACED_WRITE = "25006";
    public static final String TOO_FAR_BEHIND = "72000";
    public static final String INTERNAL = "XX000";
    public static final String OUTCOME_UNKNOWN = "40003";
}
