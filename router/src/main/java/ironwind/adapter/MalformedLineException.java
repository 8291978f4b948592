package ironwind.adapter;

/** Thrown for a malformed line; the message tells its number, its name and the field. */
final class MalformedLineException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedLineException(long lineNumber, String messageName, String field, String problem) {
        super(
                "line "
                        + lineNumber
                        + (messageName.isEmpty() ? "" : " (" + messageName + ")")
                        + ": field '"
                        + field
                        + "' "
                        + problem);
    }
}
