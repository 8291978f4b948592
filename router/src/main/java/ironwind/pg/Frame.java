package ironwind.pg;

/**
 * A message as received, without its length field.
 *
 * @param type the type byte, or {@link #STARTUP}
 * @param body the bytes after the length field
 */
public record Frame(char type, byte[] body) {
    /** The type of startup messages, which have no type byte on the wire. */
    public static final char STARTUP = 0;
}
