package ironwind.pg;

import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;

/** Size limits, and readers for the data types that messages of both directions use. */
public final class WireFormat {
    /** Maps each byte to one char, so that text in any encoding passes through unchanged. */
    static final Charset CHARSET = StandardCharsets.ISO_8859_1;

    /** Largest value, in bytes. The protocol specification (PROTOCOL) allows no larger one. */
    static final int MAX_VALUE_BYTES = 64 * 1024;

    /**
     * Largest message body, in bytes. A value may be written in hexadecimal, which takes two bytes
     * for each of its bytes, with other text around it.
     */
    public static final int MAX_MESSAGE_BYTES = 2 * MAX_VALUE_BYTES + 4_096;

    private WireFormat() {}

    /** Reads a big-endian 32-bit integer. */
    static int readInt32(byte[] bytes, int offset) {
        return (bytes[offset] & 0xff) << 24
                | (bytes[offset + 1] & 0xff) << 16
                | (bytes[offset + 2] & 0xff) << 8
                | bytes[offset + 3] & 0xff;
    }

    /** Reads a zero-terminated string that must make up the whole message body. */
    static String readSoleString(byte[] body) {
        String string = readString(body, 0);
        if (string.length() != body.length - 1) {
            throw new PgException(PgException.PROTOCOL_VIOLATION, "unexpected data after a string");
        }
        return string;
    }

    /** Reads the zero-terminated string that starts at the offset. */
    static String readString(byte[] bytes, int offset) {
        int end = offset;
        while (end < bytes.length && bytes[end] != 0) {
            end++;
        }
        if (end >= bytes.length) {
            throw new PgException(PgException.PROTOCOL_VIOLATION, "unterminated string");
        }
        return new String(bytes, offset, end - offset, CHARSET);
    }
}
