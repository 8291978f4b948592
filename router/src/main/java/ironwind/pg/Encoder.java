package ironwind.pg;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** Encodes the messages of servers, which come first below, and of clients. */
public final class Encoder {
    private static final byte[] READY_FOR_QUERY =
            new MessageWriter().beginMessage('Z').writeByte('I').endMessage().toByteArray();
    private static final int LENGTH_BYTES = 4;
    private static final int PROTOCOL_VERSION = ClientMessage.MAJOR_VERSION << 16;

    private Encoder() {}

    /** Returns the response to a startup message, up to and including the first ReadyForQuery. */
    public static byte[] startupResponse() {
        return new MessageWriter()
                .beginMessage('R')
                .writeInt32(0)
                .endMessage()
                .beginMessage('S')
                .writeString("server_version")
                .writeString("15.0")
                .endMessage()
                .beginMessage('S')
                .writeString("server_encoding")
                .writeString("UTF8")
                .endMessage()
                .beginMessage('S')
                .writeString("client_encoding")
                .writeString("UTF8")
                .endMessage()
                .beginMessage('S')
                .writeString("standard_conforming_strings")
                .writeString("on")
                .endMessage()
                .writeBytes(READY_FOR_QUERY)
                .toByteArray();
    }

    /** Returns the response that rejects a request for encryption. */
    public static byte[] encryptionRejectedResponse() {
        return new byte[] {'N'};
    }

    /**
     * Returns a complete result with columns of type text.
     *
     * @param rows the rows, each with as many values as there are columns
     */
    public static byte[] tableResult(List<String> columns, List<List<String>> rows) {
        MessageWriter writer = new MessageWriter().beginMessage('T').writeInt16(columns.size());
        columns.forEach(
                column ->
                        writer.writeString(column)
                                .writeInt32(0)
                                .writeInt16(0)
                                .writeInt32(Row.TEXT_TYPE_OID)
                                .writeInt16(-1)
                                .writeInt32(-1)
                                .writeInt16(0));
        writer.endMessage();
        for (List<String> row : rows) {
            writer.beginMessage('D').writeInt16(row.size());
            for (String value : row) {
                byte[] text = value.getBytes(StandardCharsets.UTF_8);
                writer.writeInt32(text.length).writeBytes(text);
            }
            writer.endMessage();
        }
        return writer.beginMessage('C')
                .writeString("SELECT " + rows.size())
                .endMessage()
                .writeBytes(READY_FOR_QUERY)
                .toByteArray();
    }

    /** Returns a complete result of one row. */
    public static byte[] singleRowResult(Row row) {
        return singleRowResult(row, Map.of());
    }

    /** Returns a complete result of one row, with a ParameterStatus for each parameter. */
    public static byte[] singleRowResult(Row row, Map<String, String> parameters) {
        MessageWriter writer = completeRow(startRow(row).writeBytes(row.data()), row);
        parameters.forEach(
                (name, value) ->
                        writer.beginMessage('S').writeString(name).writeString(value).endMessage());
        return writer.writeBytes(READY_FOR_QUERY).toByteArray();
    }

    /** Returns a complete result of one row in parts, so that a large value is not copied. */
    public static byte[][] singleRowResultParts(Row row) {
        return new byte[][] {
            startRow(row).toByteArray(),
            row.data(),
            completeRow(new MessageWriter(), row).writeBytes(READY_FOR_QUERY).toByteArray()
        };
    }

    private static MessageWriter startRow(Row row) {
        return new MessageWriter()
                .beginMessage('T')
                .writeBytes(row.description())
                .endMessage()
                .writeByte('D')
                .writeInt32(LENGTH_BYTES + row.data().length);
    }

    private static MessageWriter completeRow(MessageWriter writer, Row row) {
        return writer.beginMessage('C').writeString(row.tag()).endMessage();
    }

    /** Returns an ErrorResponse followed by ReadyForQuery. */
    public static byte[] errorResponseAndReady(PgError error) {
        return errorResponse(error, "ERROR").writeBytes(READY_FOR_QUERY).toByteArray();
    }

    /** Returns an ErrorResponse without the ReadyForQuery that has to follow it. */
    public static byte[] errorResponse(PgError error) {
        return errorResponse(error, "ERROR").toByteArray();
    }

    /** Returns an ErrorResponse of severity FATAL, after which the connection is closed. */
    public static byte[] fatalErrorResponse(PgError error) {
        return errorResponse(error, "FATAL").toByteArray();
    }

    private static MessageWriter errorResponse(PgError error, String severity) {
        MessageWriter writer =
                new MessageWriter()
                        .beginMessage('E')
                        .writeByte('S')
                        .writeString(severity)
                        .writeByte('V')
                        .writeString(severity)
                        .writeByte('C')
                        .writeString(error.sqlState())
                        .writeByte('M')
                        .writeString(error.message());
        if (error.detail() != null) {
            writer.writeByte('D').writeString(error.detail());
        }
        return writer.writeByte(0).endMessage();
    }

    /** Returns an EmptyQueryResponse followed by ReadyForQuery. */
    public static byte[] emptyQueryResponse() {
        return new MessageWriter()
                .beginMessage('I')
                .endMessage()
                .writeBytes(READY_FOR_QUERY)
                .toByteArray();
    }

    /** Returns a ReadyForQuery. */
    public static byte[] readyForQuery() {
        return READY_FOR_QUERY.clone();
    }

    /** Returns a startup message. */
    public static byte[] startupMessage(String user, String database) {
        return new MessageWriter()
                .beginMessage(Frame.STARTUP)
                .writeInt32(PROTOCOL_VERSION)
                .writeString("user")
                .writeString(user)
                .writeString("database")
                .writeString(database)
                .writeByte(0)
                .endMessage()
                .toByteArray();
    }

    /**
     * Returns a Query.
     *
     * @param sql the query text, one char per byte
     */
    public static byte[] queryMessage(String sql) {
        return new MessageWriter().beginMessage('Q').writeString(sql).endMessage().toByteArray();
    }
}
