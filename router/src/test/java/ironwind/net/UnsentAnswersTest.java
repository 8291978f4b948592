package ironwind.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import ironwind.config.OperatorSettings;
import ironwind.idle.Limits;
import ironwind.pg.Encoder;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.HexFormat;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Answers that the sockets of slow readers do not accept yet when their connection is to end. */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class UnsentAnswersTest extends RouterFixture {
    private static final int SOCKET_BUFFER_BYTES = 16 * 1024;
    private static final int READS = 4;

    /** Longer than clients are served after the drain began. */
    private static final long UNTIL_CLOSING_MS = 1_700;

    private PgConnection connectSlowReader() throws Exception {
        rowValue = new byte[64 * 1024];
        Limits defaults = config.clientLimits();
        Limits limits =
                new Limits(
                        defaults.maxConnections(),
                        defaults.maxPerAddress(),
                        defaults.maxPerCustomer(),
                        defaults.acceptRate(),
                        defaults.acceptBurst(),
                        defaults.startupTimeout(),
                        defaults.messageTimeout(),
                        defaults.firstRequestTimeout(),
                        defaults.idleTimeout(),
                        defaults.crowdedIdleTimeout(),
                        defaults.crowdedFraction(),
                        defaults.memoryBytes(),
                        defaults.maxUnsentPerClient(),
                        defaults.maxUnsentTotal(),
                        defaults.slowReaderTimeout(),
                        defaults.openRpcThreshold(),
                        defaults.turnDuration(),
                        defaults.maxQueueTime(),
                        defaults.activeWindow(),
                        defaults.keepalive(),
                        SOCKET_BUFFER_BYTES);
        OperatorSettings settings = new OperatorSettings(limits, OperatorSettings.LogFormat.PAIRS);
        discoveryResponses.add(hostListJson());
        startRouter(
                new Router(config, settings, new Log(new PrintStream(logOutput, true)))
                        .withoutWarmup());
        Socket socket = new Socket();
        socket.setReceiveBufferSize(SOCKET_BUFFER_BYTES);
        socket.connect(new InetSocketAddress(LOOPBACK, router.port()));
        PgConnection client = new PgConnection(socket);
        resources.add(client);
        client.send(Encoder.startupMessage("client", "core"), Encoder.queryMessage(""));
        assertThat(client.readResponse()).isEqualTo("RSSSSZ");
        assertThat(client.readResponse()).isEqualTo("IZ");
        return client;
    }

    private PgConnection connectObserverWithUnsentAnswers(PgConnection slowReader)
            throws Exception {
        PgConnection observer = connectClient();
        for (int i = 0; i < READS; i++) {
            slowReader.send(request(READ_TEMPLATE, 1_900));
        }
        while (router.counters().read().get("ok") < READS) {
            Thread.sleep(5);
        }
        assertThat(memory(observer, "owed")).isPositive();
        return observer;
    }

    /** Guards against a drain that drops answers which their client is still reading. */
    @Test
    void drainingRouterDeliversAnswersBeforeItCloses() throws Exception {
        PgConnection slowReader = connectSlowReader();
        connectObserverWithUnsentAnswers(slowReader);
        Future<Void> drained = router.drain();
        Thread.sleep(UNTIL_CLOSING_MS);
        for (int i = 0; i < READS; i++) {
            assertThat(slowReader.readResponse()).isEqualTo("TDCZ");
        }
        assertThat(slowReader.readResponse()).isEqualTo(" closed");
        drained.await(10, TimeUnit.SECONDS);
    }

    /** Guards against a fatal error that cuts the answers before it after its grace period. */
    @Test
    void answersBeforeAFatalErrorAreDelivered() throws Exception {
        PgConnection slowReader = connectSlowReader();
        connectObserverWithUnsentAnswers(slowReader);
        slowReader.send(HexFormat.of().parseHex("3f00000004"));
        Thread.sleep(1_000);
        for (int i = 0; i < READS; i++) {
            assertThat(slowReader.readResponse()).isEqualTo("TDCZ");
        }
        assertThat(slowReader.readResponse()).isEqualTo("E08P01 closed");
    }
}
