package ironwind.pg;

import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;

/** What the messages of both directions share. */
public final class WireFormat {
    /** One char a byte, so that any text passes through as it came. */
    static final Charset BYTES = StandardCharsets.ISO_8859_1;

    /** PROTOCOL: values are no larger than this. */
    static final int LARGEST_VALUE = 64 * 1024;

    /** A value may stand in hexadecimal, with words round it. */
    public static final int LARGEST_MESSAGE = 2 * LARGEST_VALUE + 4_096;

    private WireFormat() {}

    static int int4(byte[] bytes, int at) {
        return (bytes[at] & 0xff) << 24
                | (bytes[at + 1] & 0xff) << 16
                | (bytes[at + 2] & 0xff) << 8
                | bytes[at + 3] & 0xff;
    }

    /** The text that fills a message up to its last byte, a zero. */
    static String wholeText(byte[] bytes) {
        String text = text(bytes, 0);
        if (text.length() != bytes.length - 1) {
            throw new PgException(PgException.PROTOCOL, "a text ends before its message");
        }
        return text;
    }

    /** The text from here to its zero byte. */
    static String text(byte[] bytes, int at) {
        int end = at;
        while (end < bytes.length && bytes[end] != 0) {
            end++;
        }
        if (end >= bytes.length) {
            throw new PgException(PgException.PROTOCOL, "a text has no end");
        }
        return new String(bytes, at, end - at, BYTES);
    }
}
