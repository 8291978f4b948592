package ironwind.pg;

import static java.util.stream.Collectors.joining;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class PgTest {
    private static byte[] bytes(String hex) {
        String digits = hex.replace(" ", "");
        byte[] bytes = new byte[digits.length() / 2];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = (byte) Integer.parseInt(digits.substring(2 * i, 2 * i + 2), 16);
        }
        return bytes;
    }

    private static byte[] concat(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.writeBytes(part);
        }
        return all.toByteArray();
    }

    private static List<ClientMessage> decodeClientMessages(byte[]... pieces) {
        FrameDecoder decoder = new FrameDecoder(true, ClientMessage.TYPES, 200);
        List<ClientMessage> messages = new ArrayList<>();
        for (byte[] piece : pieces) {
            decoder.add(piece);
            for (Frame frame = decoder.next(); frame != null; frame = decoder.next()) {
                messages.add(ClientMessage.decode(frame));
                decoder.startupDone();
            }
            assertThat(decoder.compact()).isEqualTo(decoder.bufferCapacity());
        }
        assertThat(decoder.hasBufferedBytes()).isFalse();
        return messages;
    }

    /** Guards against a few bytes that keep a large buffer, and against losing bytes with it. */
    @Test
    void compactKeepsTheBytesOfAnIncompleteMessageInASmallerBuffer() {
        byte[] query = Encoder.queryMessage("SELECT " + "x".repeat(600));
        byte[] most = Arrays.copyOf(concat(query, query, query, query), 4 * query.length - 1);
        FrameDecoder decoder = new FrameDecoder(false, ClientMessage.TYPES, 1_000);
        decoder.add(most);
        for (int i = 0; i < 3; i++) {
            assertThat(decoder.next().body()).hasSize(query.length - 5);
        }
        assertThat(decoder.next()).isNull();
        assertThat(decoder.bufferCapacity()).isEqualTo(most.length);
        assertThat(decoder.compact()).isLessThan(2 * query.length);
        decoder.add(new byte[1]);
        assertThat(decoder.next().body()).hasSize(query.length - 5).endsWith('x', 0);
        assertThat(decoder.compact()).isZero();
    }

    /**
     * Guards against messages that are lost or garbled when the startup message and the first query
     * arrive in one piece, or when a message arrives in several.
     */
    @Test
    void decodesTheSameMessagesForEverySplitOfTheInput() {
        byte[] all =
                concat(
                        Encoder.startupMessage("client", "core"),
                        Encoder.queryMessage("/* id=1 */ SELECT 'é'"),
                        Encoder.queryMessage(""),
                        bytes("58 00000004"));
        List<ClientMessage> expected = decodeClientMessages(all);
        assertThat(expected)
                .extracting(Object::getClass)
                .containsExactly(
                        ClientMessage.Startup.class,
                        ClientMessage.Query.class,
                        ClientMessage.Query.class,
                        ClientMessage.Terminate.class);
        for (int first = 1; first < all.length; first++) {
            for (int second = first; second < all.length; second++) {
                assertThat(
                                decodeClientMessages(
                                        Arrays.copyOf(all, first),
                                        Arrays.copyOfRange(all, first, second),
                                        Arrays.copyOfRange(all, second, all.length)))
                        .isEqualTo(expected);
            }
        }
    }

    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource({
        "00000003, 08P01",
        "ffffffff, 08P01",
        "00100000, 54000",
        "00000006 0003, 08P01",
        "00000008 00020000, 0A000",
        "00000008 00030000 5100000003, 08P01",
        "00000008 00030000 5100010000, 54000",
        "00000008 00030000 5100000006 4142, 08P01",
        "00000008 00030000 0000000004, 08P01"
    })
    void malformedMessagesAreRejectedWithSqlState(String hex, String code) {
        assertThatThrownBy(() -> decodeClientMessages(bytes(hex)))
                .isInstanceOfSatisfying(
                        PgException.class,
                        exception -> assertThat(exception.sqlState).isEqualTo(code));
    }

    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource({
        "04d2162f, EncryptionRequest",
        "04d21630, EncryptionRequest",
        "04d2162e, CancelRequest",
        "00030002, Startup"
    })
    void firstMessageIsIdentifiedByItsCode(String number, String kind) {
        assertThat(
                        decodeClientMessages(bytes("00000008" + number))
                                .get(0)
                                .getClass()
                                .getSimpleName())
                .isEqualTo(kind);
    }

    private static List<HostMessage> decodeHostMessages(byte[] bytes) {
        FrameDecoder decoder =
                new FrameDecoder(false, HostMessage.TYPES, WireFormat.MAX_MESSAGE_BYTES);
        decoder.add(bytes);
        List<HostMessage> messages = new ArrayList<>();
        for (Frame frame = decoder.next(); frame != null; frame = decoder.next()) {
            messages.add(HostMessage.decode(frame));
        }
        return messages;
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 255, 65_536})
    void rowsPassThroughUnchanged(int size) {
        byte[] data = ByteBuffer.allocate(6 + size).putShort((short) 1).putInt(size).array();
        for (int i = 0; i < size; i++) {
            data[6 + i] = (byte) i;
        }
        Row row =
                new Row(
                        bytes("0001 76616c00 00000000 0000 00000011 ffff ffffffff 0001"),
                        data,
                        "SELECT 1");
        List<HostMessage> messages = decodeHostMessages(Encoder.singleRowResult(row));
        assertThat(((HostMessage.RowDescription) messages.get(0)).body())
                .isEqualTo(row.description());
        assertThat(((HostMessage.DataRow) messages.get(1)).body()).isEqualTo(data);
        assertThat(messages.subList(2, 4))
                .containsExactly(
                        new HostMessage.CommandComplete("SELECT 1"),
                        new HostMessage.ReadyForQuery());
    }

    /** Guards against a comment of which each of very many fields becomes an object. */
    @ParameterizedTest
    @ValueSource(ints = {65, 3_000, 15_000})
    void commentsWithTooManyFieldsAreRejected(int fields) {
        String comment =
                IntStream.range(0, fields).mapToObj(i -> "z" + i + "=1").collect(joining(","));
        assertThatThrownBy(() -> Statement.parse("/* " + comment + " */ SELECT 1"))
                .isInstanceOf(PgException.class);
        assertThatThrownBy(() -> Statement.parse("/* " + ",".repeat(fields) + " */ SELECT 1"))
                .isInstanceOf(PgException.class);
        assertThatThrownBy(() -> Statement.parse("/* id=" + "1".repeat(4_097) + " */ SELECT 1"))
                .isInstanceOf(PgException.class);
    }

    /** Guards against buffers of the size that a header declares, before its message arrives. */
    @Test
    void bufferOfAnIncompleteMessageGrowsWithWhatHasArrived() {
        FrameDecoder decoder =
                new FrameDecoder(false, ClientMessage.TYPES, WireFormat.MAX_MESSAGE_BYTES);
        byte[] query = Encoder.queryMessage("x".repeat(100_000));
        for (int i = 0; i < query.length; i++) {
            assertThat(decoder.next()).isNull();
            decoder.add(new byte[] {query[i]});
            assertThat(decoder.bufferCapacity()).isLessThanOrEqualTo(Math.max(512, 2 * (i + 1)));
        }
        assertThat(decoder.next().body()).hasSize(query.length - 5);
    }

    /** Guards against a command tag that is matched by deep recursion before it is measured. */
    @ParameterizedTest
    @ValueSource(ints = {64, 2_000, 500_000})
    void longCommandTagsAreRejected(int repetitions) {
        Row row =
                new Row(
                        Row.ofText("val", "x").description(),
                        new byte[] {0, 1, -1, -1, -1, -1},
                        "SELECT" + " 1".repeat(repetitions));
        FrameDecoder decoder = new FrameDecoder(false, HostMessage.TYPES, 1 << 20);
        decoder.add(Encoder.singleRowResult(row));
        assertThat(HostMessage.decode(decoder.next()))
                .isInstanceOf(HostMessage.RowDescription.class);
        assertThat(HostMessage.decode(decoder.next())).isInstanceOf(HostMessage.DataRow.class);
        Frame commandComplete = decoder.next();
        assertThatThrownBy(() -> HostMessage.decode(commandComplete))
                .isInstanceOf(PgException.class);
    }

    @Test
    void errorsKeepSqlStateMessageAndDetail() {
        PgError error = new PgError(PgError.TOO_MANY_CONNECTIONS, "full", "250");
        assertThat(decodeHostMessages(Encoder.errorResponseAndReady(error)))
                .containsExactly(
                        new HostMessage.ErrorResponse(error), new HostMessage.ReadyForQuery());
        assertThat(decodeHostMessages(Encoder.fatalErrorResponse(new PgError("08P01", "no", null))))
                .containsExactly(new HostMessage.ErrorResponse(new PgError("08P01", "no", null)));
        assertThat(Row.ofText("stats", "a=1").text()).isEqualTo("a=1");
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '|',
            value = {
                "/* id=9b,c=basket,d=480 */ SELECT val FROM state WHERE uid = 'k1' | 9b | 480 | k1",
                "/*d=480 , c=basket,id=9b*/SELECT val FROM state WHERE uid = 'it''s' | 9b | 480 | it's",
                "/* id=9b,x,=,d=480 */ INSERT INTO state VALUES ('k1', '\\x9f*/03') | 9b | 480 | k1",
                "/* id=9b,d=480 */ SELECT 1 | 9b | 480 | "
            })
    void statementsAreParsedAndForwardedWithOnlyTheTimeLeftReplaced(
            String sql, String id, long millis, String key) {
        Statement statement = Statement.parse(sql);
        assertThat(statement.required("id")).isEqualTo(id);
        assertThat(statement.requiredLong("d", 1, 1_000)).isEqualTo(millis);
        assertThat(statement.rowKey()).isEqualTo(key);
        Statement forwarded = Statement.parse(statement.withTimeLeft(77));
        assertThat(forwarded.text())
                .isEqualTo(statement.text())
                .isEqualTo(sql.substring(sql.indexOf("*/") + 2).strip());
        assertThat(forwarded.requiredLong("d", 1, 1_000)).isEqualTo(77);
        assertThat(forwarded.attributes().keySet())
                .containsExactlyElementsOf(statement.attributes().keySet());
    }

    @ParameterizedTest(name = "{0}")
    @ValueSource(
            strings = {
                "/* id=9b SELECT 1",
                "/* c=a */ SELECT 1",
                "/* id= */ SELECT 1",
                "/* id=1,d=x */ SELECT 1",
                "/* id=1,d=0 */ SELECT 1",
                "/* id=1,d=-5 */ SELECT 1",
                "/* id=1,d=1001 */ SELECT 1",
                "/* id=1,d=9999999999999999999 */ SELECT 1",
                "/* id=1,d=1,id=2 */ SELECT 1",
                "/* id=1,d=1 */ SELECT 'open"
            })
    void malformedStatementsAreSyntaxErrors(String sql) {
        assertThatThrownBy(
                        () -> {
                            Statement statement = Statement.parse(sql);
                            statement.required("id");
                            statement.requiredLong("d", 1, 1_000);
                            statement.rowKey();
                        })
                .isInstanceOfSatisfying(
                        PgException.class,
                        exception ->
                                assertThat(exception.sqlState).isEqualTo(PgException.SYNTAX_ERROR));
    }
}
