package ironwind.pg;

/** Something that PostgreSQL's protocol, or this router's part of it, has no place for. */
public final class PgException extends RuntimeException {
    public static final String PROTOCOL = "08P01";
    public static final String TOO_LARGE = "54000";
    public static final String UNSUPPORTED = "0A000";
    public static final String SYNTAX = "42601";
    public static final String TOO_SLOW = "57P05";
    private static final long serialVersionUID = 1L;

    public final String code;

    public PgException(String code, String what) {
        super(what, null, false, false);
        this.code = code;
    }
}
