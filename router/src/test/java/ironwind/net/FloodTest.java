package ironwind.net;

import static org.assertj.core.api.Assertions.assertThat;

import ironwind.pg.Encoder;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A client that sends many small commands at once, beside another that sends one. */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class FloodTest extends RouterFixture {
    /** Bytes that a router reads at once. */
    private static final int FLOOD_BYTES = 64 * 1024;

    /** Commands of one client that may be executed before those of another. */
    private static final int MAX_COMMANDS_BEFORE_OTHERS = 100;

    private static final Pattern MALFORMED = Pattern.compile("malformed=(\\d+)");
    private static final Pattern FAULTS = Pattern.compile("faults=(\\d+)");

    private final CountDownLatch loopBlocked = new CountDownLatch(1);
    private final CountDownLatch loopReleased = new CountDownLatch(1);

    /** Creates a router whose event loop blocks in the arrival of the first RPC. */
    private Router newBlockableRouter() {
        return routerWith(
                (method, logic) -> {
                    if (method.equals("onRpcArrived")) {
                        loopBlocked.countDown();
                        loopReleased.await();
                    }
                    return logic.call();
                });
    }

    private byte[] flood(String sql) throws Exception {
        ByteArrayOutputStream commands = new ByteArrayOutputStream();
        for (int i = 0; commands.size() < FLOOD_BYTES - 100; i++) {
            commands.write(Encoder.queryMessage(sql.formatted(i, i)));
        }
        return commands.toByteArray();
    }

    /** Guards against requests with little time left of which each opens a connection to a host. */
    @Test
    void requestsThatEndBeforeTheirConnectionIsUpShareConnections() throws Exception {
        primary.actions = new String[] {"no startup response"};
        replica.actions = new String[] {"no startup response"};
        PgConnection client = publishHostsAndConnect();
        int requests = 400;
        for (int i = 0; i < requests; i++) {
            client.send(request(READ_TEMPLATE, 1));
        }
        for (int i = 0; i < requests; i++) {
            assertThat(client.readResponse()).startsWith("E53300");
        }
        assertThat(primary.acceptedConnections + replica.acceptedConnections)
                .isLessThan(requests / 4);
    }

    private static int statistic(PgConnection client, Pattern name) {
        Matcher matcher = name.matcher(new String(client.lastDataRow, StandardCharsets.ISO_8859_1));
        assertThat(matcher.find()).isTrue();
        return Integer.parseInt(matcher.group(1));
    }

    /** Guards against one client's many unsound commands that others have to wait for. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "x",
                "a b c d e f",
                "/* id=%d,c=name%d,d=100,cluster=2 */ SELECT 1",
                "/* id=%d,c=read,d=100,cluster=7%d */ SELECT 1",
                "/* id"
            })
    void otherClientsAreServedBetweenTheCommandsOfOne(String sql) throws Exception {
        startRouter(newBlockableRouter());
        PgConnection blocking = publishHostsAndConnect();
        PgConnection flooding = connectClient();
        PgConnection other = connectClient();
        blocking.send(request(READ_TEMPLATE, 1_900));
        loopBlocked.await();
        byte[] flood = flood(sql);
        flooding.send(flood);
        other.send(Encoder.queryMessage("SHOW stats"));
        loopReleased.countDown();
        assertThat(other.readResponse()).isEqualTo("TDCZ");
        assertThat(statistic(other, MALFORMED)).isLessThan(MAX_COMMANDS_BEFORE_OTHERS);
        // All commands of the flood are answered nevertheless.
        flooding.send(Encoder.queryMessage(""));
        String response = flooding.readResponse();
        int answers = 0;
        while (response.startsWith("E")) {
            answers++;
            response = flooding.readResponse();
        }
        assertThat(response).isEqualTo("IZ");
        other.send(Encoder.queryMessage("SHOW stats"));
        assertThat(other.readResponse()).isEqualTo("TDCZ");
        assertThat(statistic(other, MALFORMED)).isEqualTo(answers).isGreaterThan(600);
        assertThat(statistic(other, FAULTS)).isZero();
    }
}
