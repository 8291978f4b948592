package ironwind.pg;

import java.nio.charset.StandardCharsets;

/**
 * An answer of one row: what describes its one column, its value, and the words that complete it.
 */
public record Row(byte[] description, byte[] data, String tag) {
    static final int TEXT_TYPE = 25;

    /** A row of text, as a server that makes one itself would. */
    public static Row ofText(String column, String value) {
        byte[] text = value.getBytes(StandardCharsets.UTF_8);
        byte[] description =
                new MessageWriter()
                        .int2(1)
                        .text(column)
                        .int4(0)
                        .int2(0)
                        .int4(TEXT_TYPE)
                        .int2(-1)
                        .int4(-1)
                        .int2(0)
                        .bytes();
        return new Row(
                description,
                new MessageWriter().int2(1).int4(text.length).raw(text).bytes(),
                "SELECT 1");
    }

    /** Its value as text, or null. */
    public String text() {
        int length = data.length < 6 ? -1 : WireFormat.int4(data, 2);
        return length < 0 || length > data.length - 6
                ? null
                : new String(data, 6, length, StandardCharsets.UTF_8);
    }
}
