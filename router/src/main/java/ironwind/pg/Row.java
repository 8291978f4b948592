package ironwind.pg;

import java.nio.charset.StandardCharsets;

/**
 * A query result of one row with one column.
 *
 * @param description the body of the RowDescription message
 * @param data the body of the DataRow message
 * @param tag the command tag of the CommandComplete message, such as {@code SELECT 1}
 */
public record Row(byte[] description, byte[] data, String tag) {
    /** The object id of PostgreSQL's type text. */
    static final int TEXT_TYPE_OID = 25;

    /** Creates a result with a column of type text, as a server would return it. */
    public static Row ofText(String column, String value) {
        byte[] text = value.getBytes(StandardCharsets.UTF_8);
        byte[] description =
                new MessageWriter()
                        .writeInt16(1)
                        .writeString(column)
                        .writeInt32(0)
                        .writeInt16(0)
                        .writeInt32(TEXT_TYPE_OID)
                        .writeInt16(-1)
                        .writeInt32(-1)
                        .writeInt16(0)
                        .toByteArray();
        return new Row(
                description,
                new MessageWriter()
                        .writeInt16(1)
                        .writeInt32(text.length)
                        .writeBytes(text)
                        .toByteArray(),
                "SELECT 1");
    }

    /** Returns the value as UTF-8 text, or null if it is NULL or the data is malformed. */
    public String text() {
        int length = data.length < 6 ? -1 : WireFormat.readInt32(data, 2);
        return length < 0 || length > data.length - 6
                ? null
                : new String(data, 6, length, StandardCharsets.UTF_8);
    }
}
