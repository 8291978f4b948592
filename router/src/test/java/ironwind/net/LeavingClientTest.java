package ironwind.net;

import static org.assertj.core.api.Assertions.assertThat;

import ironwind.pg.Encoder;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that close their connection while their commands are not answered. */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class LeavingClientTest extends RouterFixture {
    /** Commands of a connection that are executed before the first of them is answered. */
    private static final long MAX_PENDING_COMMANDS = 16;

    /** Time after a client has left from which on nothing is sent for it. */
    private static final long ALLOWED_MS = 100;

    /**
     * Longer than the deadline of the commands that are being executed when their client leaves.
     */
    private static final long OBSERVED_MS = 1_500;

    private byte[] writes(int count, int statementBytes) throws Exception {
        ByteArrayOutputStream commands = new ByteArrayOutputStream();
        for (int i = 0; i < count; i++) {
            String write = WRITE_TEMPLATE.formatted(nextRequestId++, 1_000);
            commands.write(Encoder.queryMessage(write + " -- " + "x".repeat(statementBytes)));
        }
        return commands.toByteArray();
    }

    /** Guards against a close that is not seen behind commands which are not executed yet. */
    @ParameterizedTest(name = "{0} commands of {1} bytes")
    @CsvSource({"17, 0", "40, 0", "400, 500", "2000, 100", "25, 60000"})
    void noFurtherCommandIsExecutedForAClientThatHasLeft(int commands, int statementBytes)
            throws Exception {
        primary.actions = new String[] {"no response"};
        PgConnection observer = publishHostsAndConnect();
        PgConnection client = connectClient();
        client.send(writes(commands, statementBytes));
        primary.requests.take();
        leave(client, observer);
        Thread.sleep(ALLOWED_MS);
        assertThat(statistic(observer, "rpcs")).isLessThanOrEqualTo(MAX_PENDING_COMMANDS);
        assertThat(memory(observer, "all")).isZero();
        observer.send(Encoder.queryMessage("SHOW idle"));
        assertThat(observer.readTable()).contains(List.of("open_rpcs", "0"));
    }

    /** Guards against attempts for a client that has left, first ones and repeated ones. */
    @ParameterizedTest(name = "{0} commands, host that answers with {1}")
    @CsvSource({"17, slow row", "40, slow row", "40, overloaded", "400, overloaded"})
    void nothingIsSentAfterTheClientHasLeft(int commands, String action) throws Exception {
        primary.actions = new String[] {action};
        publishHostsAndConnect();
        PgConnection client = connectClient();
        client.send(writes(commands, 0));
        primary.requests.take();
        client.close();
        Thread.sleep(ALLOWED_MS);
        int sentBefore = primary.requests.size();
        Thread.sleep(OBSERVED_MS);
        assertThat(primary.requests).hasSize(sentBefore);
    }

    /** Guards against a write that runs twice because its client left and sent it again. */
    @ParameterizedTest
    @ValueSource(strings = {"slow row", "no response", "close"})
    void idOfAWriteThatMayHaveRunIsNotTakenAgain(String action) throws Exception {
        primary.actions = new String[] {action, "row"};
        PgConnection observer = publishHostsAndConnect();
        byte[] write = writes(1, 0);
        PgConnection client = connectClient();
        client.send(write);
        primary.requests.take();
        leave(client, observer);
        PgConnection again = connectClient();
        again.send(write);
        assertThat(again.readResponse()).isEqualTo("E42601");
        assertThat(primary.possibleExecutions).isEqualTo(1);
        again.send(writes(1, 0));
        assertThat(again.readResponse()).doesNotStartWith("E42601");
    }

    @Test
    void idOfAWriteThatWasNotSentIsFree() throws Exception {
        primary.actions = new String[] {"no startup response"};
        PgConnection observer = publishHostsAndConnect();
        byte[] write = writes(1, 0);
        PgConnection client = connectClient();
        client.send(write);
        while (statistic(observer, "call_outs") == 0) {
            Thread.sleep(1);
        }
        leave(client, observer);
        while (statistic(observer, "ended_never_up") == 0) {
            Thread.sleep(5);
        }
        PgConnection again = connectClient();
        again.send(write);
        assertThat(again.readResponse()).startsWith("E53300");
    }

    private static void leave(PgConnection client, PgConnection observer) throws Exception {
        client.close();
        while (statistic(observer, "ended_client_left") == 0) {
            Thread.sleep(5);
        }
    }

    /** Returns a counter of {@code SHOW stats}; zero if it isn't listed. */
    private static long statistic(PgConnection observer, String name) throws Exception {
        observer.send(Encoder.queryMessage("SHOW stats"));
        String statistics = observer.readTable().get(0).get(0);
        return Arrays.stream(statistics.split(" "))
                .filter(counter -> counter.startsWith(name + "="))
                .mapToLong(counter -> Long.parseLong(counter.substring(name.length() + 1)))
                .findFirst()
                .orElse(0);
    }
}
