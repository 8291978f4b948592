package ironwind.pg;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
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

    private static byte[] joined(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.writeBytes(part);
        }
        return all.toByteArray();
    }

    private static List<ClientMessage> messages(byte[]... pieces) {
        FrameDecoder frames = new FrameDecoder(true, ClientMessage.TYPES, 200);
        List<ClientMessage> found = new ArrayList<>();
        for (byte[] piece : pieces) {
            frames.add(piece);
            for (Frame frame = frames.next(); frame != null; frame = frames.next()) {
                found.add(ClientMessage.decode(frame));
                frames.started();
            }
        }
        assertThat(frames.midway()).isFalse();
        return found;
    }

    /**
     * Guards against a start-up and its first query coming in one piece, or any of them in several.
     */
    @Test
    void messagesAreTheSameHoweverTheyAreSplit() {
        byte[] all =
                joined(
                        Encoder.startup("client", "core"),
                        Encoder.query("/* id=1 */ SELECT 'é'"),
                        Encoder.query(""),
                        bytes("58 00000004"));
        List<ClientMessage> whole = messages(all);
        assertThat(whole)
                .extracting(Object::getClass)
                .containsExactly(
                        ClientMessage.Startup.class,
                        ClientMessage.Query.class,
                        ClientMessage.Query.class,
                        ClientMessage.Terminate.class);
        for (int first = 1; first < all.length; first++) {
            for (int second = first; second < all.length; second++) {
                assertThat(
                                messages(
                                        Arrays.copyOf(all, first),
                                        Arrays.copyOfRange(all, first, second),
                                        Arrays.copyOfRange(all, second, all.length)))
                        .isEqualTo(whole);
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
    void badMessagesAreToldBySqlstate(String hex, String code) {
        assertThatThrownBy(() -> messages(bytes(hex)))
                .isInstanceOfSatisfying(
                        PgException.class, fault -> assertThat(fault.code).isEqualTo(code));
    }

    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource({
        "04d2162f, Encryption",
        "04d21630, Encryption",
        "04d2162e, CancelRequest",
        "00030002, Startup"
    })
    void whatComesFirstIsToldByItsNumber(String number, String kind) {
        assertThat(messages(bytes("00000008" + number)).get(0).getClass().getSimpleName())
                .isEqualTo(kind);
    }

    private static List<HostMessage> hostMessages(byte[] bytes) {
        FrameDecoder frames =
                new FrameDecoder(false, HostMessage.TYPES, WireFormat.LARGEST_MESSAGE);
        frames.add(bytes);
        List<HostMessage> found = new ArrayList<>();
        for (Frame frame = frames.next(); frame != null; frame = frames.next()) {
            found.add(HostMessage.decode(frame));
        }
        return found;
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 255, 65_536})
    void aRowPassesThroughByteByByte(int size) {
        byte[] data = ByteBuffer.allocate(6 + size).putShort((short) 1).putInt(size).array();
        for (int i = 0; i < size; i++) {
            data[6 + i] = (byte) i;
        }
        Row row =
                new Row(
                        bytes("0001 76616c00 00000000 0000 00000011 ffff ffffffff 0001"),
                        data,
                        "SELECT 1");
        List<HostMessage> said = hostMessages(Encoder.row(row));
        assertThat(((HostMessage.Description) said.get(0)).body()).isEqualTo(row.description());
        assertThat(((HostMessage.Data) said.get(1)).body()).isEqualTo(data);
        assertThat(said.subList(2, 4))
                .containsExactly(new HostMessage.Complete("SELECT 1"), new HostMessage.Ready());
    }

    @Test
    void failuresKeepCodeMessageAndDetail() {
        PgError failure = new PgError(PgError.TOO_MANY, "full", "250");
        assertThat(hostMessages(Encoder.failure(failure)))
                .containsExactly(new HostMessage.Failed(failure), new HostMessage.Ready());
        assertThat(hostMessages(Encoder.fatal(new PgError("08P01", "no", null))))
                .containsExactly(new HostMessage.Failed(new PgError("08P01", "no", null)));
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
    void statementsAreReadAndPassedOnWithTheTimeLeftAlone(
            String sql, String id, long waits, String key) {
        Statement statement = Statement.parse(sql);
        assertThat(statement.need("id")).isEqualTo(id);
        assertThat(statement.needWhole("d", 1, 1_000)).isEqualTo(waits);
        assertThat(statement.key()).isEqualTo(key);
        Statement sent = Statement.parse(statement.waitingFor(77));
        assertThat(sent.text())
                .isEqualTo(statement.text())
                .isEqualTo(sql.substring(sql.indexOf("*/") + 2).strip());
        assertThat(sent.needWhole("d", 1, 1_000)).isEqualTo(77);
        assertThat(sent.facts().keySet()).containsExactlyElementsOf(statement.facts().keySet());
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
    void badCommentsAreSyntaxErrors(String sql) {
        assertThatThrownBy(
                        () -> {
                            Statement statement = Statement.parse(sql);
                            statement.need("id");
                            statement.needWhole("d", 1, 1_000);
                            statement.key();
                        })
                .isInstanceOfSatisfying(
                        PgException.class,
                        fault -> assertThat(fault.code).isEqualTo(PgException.SYNTAX));
    }
}
