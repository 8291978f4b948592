package ironwind.adapter;

/** A malformed line, told by its number and field. */
final class MalformedLineException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedLineException(long line, String message, String field, String what) {
        super(
                "line "
                        + line
                        + (message.isEmpty() ? "" : " (" + message + ")")
                        + ": field '"
                        + field
                        + "' "
                        + what);
    }
}
