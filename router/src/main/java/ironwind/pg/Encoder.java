package ironwind.pg;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** Messages as bytes: first what a server says, then what a client says. */
public final class Encoder {
    private static final byte[] READY = new MessageWriter().begin('Z').int1('I').end().bytes();
    private static final int LENGTH_BYTES = 4;
    private static final int VERSION = ClientMessage.VERSION_3 << 16;

    private Encoder() {}

    /** The answer to a start-up message, up to the first ReadyForQuery. */
    public static byte[] welcome() {
        return new MessageWriter()
                .begin('R')
                .int4(0)
                .end()
                .begin('S')
                .text("server_version")
                .text("15.0")
                .end()
                .begin('S')
                .text("server_encoding")
                .text("UTF8")
                .end()
                .begin('S')
                .text("client_encoding")
                .text("UTF8")
                .end()
                .begin('S')
                .text("standard_conforming_strings")
                .text("on")
                .end()
                .raw(READY)
                .bytes();
    }

    /** The answer to a request for encryption: no. */
    public static byte[] noEncryption() {
        return new byte[] {'N'};
    }

    /** A table of text: a row for each list, as many values in each as there are columns. */
    public static byte[] table(List<String> columns, List<List<String>> rows) {
        MessageWriter writer = new MessageWriter().begin('T').int2(columns.size());
        columns.forEach(
                column ->
                        writer.text(column)
                                .int4(0)
                                .int2(0)
                                .int4(Row.TEXT_TYPE)
                                .int2(-1)
                                .int4(-1)
                                .int2(0));
        writer.end();
        for (List<String> row : rows) {
            writer.begin('D').int2(row.size());
            for (String value : row) {
                byte[] text = value.getBytes(StandardCharsets.UTF_8);
                writer.int4(text.length).raw(text);
            }
            writer.end();
        }
        return writer.begin('C').text("SELECT " + rows.size()).end().raw(READY).bytes();
    }

    public static byte[] row(Row row) {
        return row(row, Map.of());
    }

    /** A row, and parameters that changed with it. */
    public static byte[] row(Row row, Map<String, String> parameters) {
        MessageWriter writer = afterValue(beforeValue(row).raw(row.data()), row);
        parameters.forEach((name, value) -> writer.begin('S').text(name).text(value).end());
        return writer.raw(READY).bytes();
    }

    /** A row in parts, so that a large value is not copied. */
    public static byte[][] rowInParts(Row row) {
        return new byte[][] {
            beforeValue(row).bytes(),
            row.data(),
            afterValue(new MessageWriter(), row).raw(READY).bytes()
        };
    }

    private static MessageWriter beforeValue(Row row) {
        return new MessageWriter()
                .begin('T')
                .raw(row.description())
                .end()
                .int1('D')
                .int4(LENGTH_BYTES + row.data().length);
    }

    private static MessageWriter afterValue(MessageWriter writer, Row row) {
        return writer.begin('C').text(row.tag()).end();
    }

    public static byte[] failure(PgError failure) {
        return failure(failure, "ERROR").raw(READY).bytes();
    }

    /** An error that no ReadyForQuery follows yet. */
    public static byte[] error(PgError failure) {
        return failure(failure, "ERROR").bytes();
    }

    /** An error after which the connection is closed. */
    public static byte[] fatal(PgError failure) {
        return failure(failure, "FATAL").bytes();
    }

    private static MessageWriter failure(PgError failure, String severity) {
        MessageWriter writer =
                new MessageWriter()
                        .begin('E')
                        .int1('S')
                        .text(severity)
                        .int1('V')
                        .text(severity)
                        .int1('C')
                        .text(failure.code())
                        .int1('M')
                        .text(failure.message());
        if (failure.detail() != null) {
            writer.int1('D').text(failure.detail());
        }
        return writer.int1(0).end();
    }

    public static byte[] emptyQuery() {
        return new MessageWriter().begin('I').end().raw(READY).bytes();
    }

    public static byte[] ready() {
        return READY.clone();
    }

    public static byte[] startup(String user, String database) {
        return new MessageWriter()
                .begin(Frame.STARTUP)
                .int4(VERSION)
                .text("user")
                .text(user)
                .text("database")
                .text(database)
                .int1(0)
                .end()
                .bytes();
    }

    public static byte[] query(String sql) {
        return new MessageWriter().begin('Q').text(sql).end().bytes();
    }
}
