package ironwind.lab;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;
import ironwind.config.OperatorSettings;
import ironwind.config.RouterConfig;
import ironwind.lab.AsyncClient.Outcome;
import ironwind.net.Log;
import ironwind.net.Router;
import ironwind.pg.Encoder;
import ironwind.standin.EventLoop;
import ironwind.standin.StandInDiscovery;
import ironwind.standin.StandInHost;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Connection limits and overload, tested over sockets with a router between clients and stand-in
 * hosts. Executions are counted at the primary.
 */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class IdleRouterTest {
    private static final String SETTINGS =
            """
            {"period_us":5000,"peers_total":1,"zones":["north"],"kinds":["plain"],
             "tenants":[{"name":"one","quota_rps":0},{"name":"two","quota_rps":0}],
             "lanes":[{"name":"read","effect":"retryable","deadline_us":8000000,"goal_time_us":4000000,\
            "worth":2.0},
                      {"name":"write","effect":"fragile","deadline_us":8000000,"goal_time_us":4000000,\
            "worth":6.0}],
             "extra":{"read_level":["loose","update"],"when_behind":"off"},
             "caps":{"cancel":true,"may_probe":true,"parallel_tries":false,"most_tries":2,"retry_after":true,
                     "max_retry_after_us":250000,"connect_timeout_us":1000000,"idle_close_us":60000000},
             "rules":{"answer_slack_us":20000,"drain_grace_us":500000},"prices":{"probe":0.01}}""";

    @TempDir private Path directory;
    private final List<AutoCloseable> openClients = new ArrayList<>();
    private EventLoop loop;
    private StandInHost primary;
    private StandInDiscovery discovery;
    private Router router;
    private int nextRequest;

    @BeforeEach
    void startHosts() throws IOException {
        loop = new EventLoop("stand-ins");
        primary = new StandInHost(loop, true, 2_000_000).recordExecutions();
        discovery = new StandInDiscovery(List.of(primary, new StandInHost(loop, false, 2_000_000)));
    }

    @AfterEach
    void stop() throws Exception {
        for (AutoCloseable closeable : openClients) {
            closeable.close();
        }
        router.stop().await(10, TimeUnit.SECONDS);
        discovery.close();
        loop.close();
    }

    /** Starts a router with the given lines in the {@code idle} block of its settings. */
    private void startRouter(String idleSettings) throws Exception {
        RouterConfig config =
                RouterConfig.read(
                        new JsonObject()
                                .put("name", "n1")
                                .put("listen", "127.0.0.1:0")
                                .put("discovery", "127.0.0.1:" + discovery.port())
                                .put("seed", "8c1f30d27a5be964")
                                .put(
                                        "limits",
                                        new JsonObject()
                                                .put("sockets", 8_000)
                                                .put("memory_mb", 128))
                                .put("settings", new JsonObject(SETTINGS))
                                .put(
                                        "known",
                                        new JsonObject()
                                                .put("version", 0)
                                                .put("full", true)
                                                .put(
                                                        "servers",
                                                        new io.vertx.core.json.JsonArray())));
        Path settingsFile = directory.resolve("i.hcl");
        Files.writeString(settingsFile, "idle {\n" + idleSettings + "\n}\n");
        router =
                new Router(
                                config,
                                OperatorSettings.read(settingsFile, config.clientLimits()),
                                new Log(new PrintStream(PrintStream.nullOutputStream())))
                        .withoutWarmup();
        router.start().await(10, TimeUnit.SECONDS);
        BlockingClient first = connect();
        first.startUp();
        first.send(Encoder.queryMessage(""));
        assertThat(first.readResponse()).isEqualTo("ready");
        first.close();
    }

    private BlockingClient connect() throws IOException {
        return connect("127.0.0.1");
    }

    private BlockingClient connect(String from) throws IOException {
        BlockingClient client = new BlockingClient(router.port(), from);
        openClients.add(client);
        return client;
    }

    /** Connects a client and completes one read on it. */
    private BlockingClient servedClient() throws IOException {
        BlockingClient client = connect();
        assertThat(client.startUp()).isEqualTo("ready");
        assertThat(client.read("served-" + nextRequest++)).isEqualTo("ok");
        return client;
    }

    private static byte[] write(String id) {
        return Encoder.queryMessage(
                "/* id="
                        + id
                        + ",c=write,d=4000,cluster=0,t=one */ INSERT INTO state (uid) VALUES ('k')");
    }

    /**
     * Connects clients on the event loop and completes one read on each. The outcomes of later
     * requests are counted.
     */
    private List<AsyncClient> connectServedClients(
            int count, Map<Outcome, Integer> outcomes, CountDownLatch completed) throws Exception {
        CountDownLatch ready = new CountDownLatch(count);
        List<AsyncClient> clients = new ArrayList<>();
        AsyncClient.Listener listener =
                new AsyncClient.Listener() {
                    @Override
                    public void ready(AsyncClient client) {
                        client.sendRead("up-" + nextRequest++, "k", 8_000, 0);
                    }

                    @Override
                    public void completed(AsyncClient client, Outcome outcome, long startNanos) {
                        if (ready.getCount() > 0) {
                            ready.countDown();
                        } else {
                            outcomes.merge(outcome, 1, Integer::sum);
                            completed.countDown();
                        }
                    }
                };
        loop.execute(
                () -> {
                    for (int i = 0; i < count; i++) {
                        clients.add(
                                AsyncClient.connect(
                                        loop,
                                        null,
                                        new InetSocketAddress("127.0.0.1", router.port()),
                                        listener));
                    }
                });
        ready.await();
        return clients;
    }

    /**
     * Guards against lost RPCs, of idle or of active clients, when all idle clients send a request
     * at the same time.
     */
    @ParameterizedTest(name = "{0} open RPCs, {1} to wait for a turn: {2}")
    @CsvSource({"16, 8s, all are served", "4, 1ms, some are pushed back"})
    void everyClientGetsOneResponseWhenAllSendAtOnce(
            int openRpcs, String crowdTime, String expectation) throws Exception {
        startRouter(
                "open_rpcs = "
                        + openRpcs
                        + "\ncrowd_time = \""
                        + crowdTime
                        + "\"\nactive_time = \"100ms\"");
        int count = 1_000;
        Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);
        CountDownLatch completed = new CountDownLatch(count);
        List<AsyncClient> clients = connectServedClients(count, outcomes, completed);
        Thread.sleep(150);
        BlockingClient active = servedClient();
        loop.execute(
                () ->
                        clients.forEach(
                                client -> client.sendRead("wake-" + nextRequest++, "k", 8_000, 0)));
        while (completed.getCount() > 0) {
            assertThat(active.read("active-" + nextRequest++)).isEqualTo("ok");
        }
        assertThat(
                        outcomes.getOrDefault(Outcome.OK, 0)
                                + outcomes.getOrDefault(Outcome.PUSHED_BACK, 0))
                .isEqualTo(count);
        if (expectation.startsWith("all")) {
            assertThat(outcomes).containsEntry(Outcome.OK, count);
        } else {
            assertThat(outcomes).containsKey(Outcome.PUSHED_BACK);
            assertThat(active.showValue("idle", "turns_too_late")).isPositive();
        }
        assertThat(active.showValue("idle", "most_waiting_for_turn")).isPositive();
        assertThat(active.showValue("idle", "waiting_for_turn")).isZero();
        assertThat(active.showValue("memory", "open")).isZero();
    }

    /** Guards against memory use that grows with the number of clients that do not read. */
    @Test
    void slowReadersAreClosedAndOthersAreServed() throws Exception {
        startRouter("owed_all = \"2MiB\"\nowed_each = \"128KiB\"\nslow_reader_time = \"300ms\"");
        BlockingClient normalClient = servedClient();
        int count = 60;
        List<AsyncClient> slow =
                connectServedClients(count, new EnumMap<>(Outcome.class), new CountDownLatch(1));
        loop.execute(
                () ->
                        slow.forEach(
                                client ->
                                        client.sendReadsPaused(
                                                "slow-" + nextRequest++, "big-65536", 8_000, 90)));
        long maxOwed = 0;
        long closed = 0;
        while (closed < count) {
            assertThat(normalClient.read("other-" + nextRequest++)).isEqualTo("ok");
            maxOwed = Math.max(maxOwed, normalClient.showValue("memory", "owed"));
            closed =
                    normalClient.showValue("idle", "ended_slow_reader")
                            + normalClient.showValue("idle", "ended_owed_too_much");
        }
        assertThat(maxOwed).isBetween(1L, (2L << 20) + (1 << 18));
        assertThat(normalClient.showValue("memory", "owed")).isZero();
        assertThat(
                        normalClient.showValue("clients", "served")
                                + normalClient.showValue("clients", "busy"))
                .isLessThanOrEqualTo(1);
    }

    /** Guards against a truncated response that looks complete to the client. */
    @Test
    void partiallyWrittenResponseIsSeenAsIncomplete() throws Exception {
        startRouter("owed_all = \"2MiB\"\nowed_each = \"128KiB\"\nslow_reader_time = \"300ms\"");
        BlockingClient normalClient = servedClient();
        BlockingClient slow = connect();
        slow.startUp();
        int requests = 400;
        for (int i = 0; i < requests; i++) {
            slow.sendRead("slow-" + i, "read", "one", "big-65536");
        }
        while (normalClient.showValue("idle", "ended_slow_reader") == 0) {
            Thread.sleep(20);
        }
        int complete = 0;
        String response = "";
        try {
            for (response = slow.readResponse();
                    response.equals("ok");
                    response = slow.readResponse()) {
                complete++;
            }
        } catch (IOException reset) {
            response = "closed";
        }
        assertThat(response).isEqualTo("closed");
        assertThat(complete).isLessThan(requests);
    }

    /** Guards against a burst of new connections that evicts connections in use. */
    @Test
    void newConnectionsAreRefusedWhileAllAreBusy() throws Exception {
        startRouter("connections = 20\nmessage_time = \"20s\"");
        List<BlockingClient> busy = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            busy.add(servedClient());
        }
        for (int i = 0; i < 20; i++) {
            // A connection with a partial message is never evicted.
            busy.get(i).send(Arrays.copyOf(write("w" + i), 20));
        }
        Thread.sleep(50);
        List<BlockingClient> newClients = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            newClients.add(connect());
        }
        for (BlockingClient client : newClients) {
            assertThat(client.readResponse()).isEqualTo("E53300 250 closed");
        }
        for (int i = 0; i < 20; i++) {
            byte[] message = write("w" + i);
            busy.get(i).send(Arrays.copyOfRange(message, 20, message.length));
            assertThat(busy.get(i).readResponse()).isEqualTo("ok");
        }
        assertThat(busy.get(0).showValue("idle", "ended_all_busy")).isEqualTo(300);
        BlockingClient admitted = servedClient();
        assertThat(admitted.showValue("idle", "ended_gave_way")).isEqualTo(1);
        assertThat(primary.executionCounts()).hasSize(20).doesNotContainValue(2);
    }

    /** Guards against the loss of an RPC that was sent just as its connection was evicted. */
    @Test
    void requestSentDuringEvictionIsServed() throws Exception {
        startRouter("connections = 1");
        BlockingClient current = servedClient();
        for (int i = 0; i < 25; i++) {
            current.send(write("last-" + i));
            BlockingClient next = connect();
            assertThat(current.readResponse()).isEqualTo("ok");
            String result = next.startUp();
            if (result.equals("ready")) {
                current.close();
                current = next;
            } else {
                assertThat(result).startsWith("E53300");
                next.close();
            }
        }
        assertThat(primary.executionCounts()).hasSize(25).doesNotContainValue(2);
    }

    @Test
    void drainClosesIdleConnectionsAndServesBusyOnes() throws Exception {
        startRouter("");
        connectServedClients(600, new EnumMap<>(Outcome.class), new CountDownLatch(1));
        BlockingClient active = servedClient();
        BlockingClient idle = servedClient();
        Future<Void> drained = router.drain();
        int served = 0;
        String response = active.read("drain-0");
        while (response.equals("ok")) {
            served++;
            try {
                response = active.read("drain-" + served);
            } catch (IOException closedBetweenRequests) {
                response = "closed";
            }
        }
        assertThat(response).isEqualTo("closed");
        assertThat(served).isGreaterThan(10);
        assertThat(idle.readResponse()).isEqualTo("closed");
        drained.await(10, TimeUnit.SECONDS);
    }

    /** Guards against incomplete messages that use up all memory. */
    @Test
    void messagesBeyondTheMemoryBudgetAreRefused() throws Exception {
        startRouter(
                "memory = \"256KiB\"\nowed_all = \"64KiB\"\nowed_each = \"64KiB\"\n"
                        + "message_time = \"20s\"");
        BlockingClient normalClient = servedClient();
        List<BlockingClient> partial = new ArrayList<>();
        byte[] head = Arrays.copyOf(Encoder.queryMessage("x".repeat(130_000)), 60_000);
        int refused = 0;
        for (int i = 0; i < 6; i++) {
            BlockingClient client = connect();
            client.startUp();
            partial.add(client);
            client.send(head);
            Thread.sleep(30);
            try {
                client.send(head);
            } catch (IOException refusedAlready) {
                // Counted below.
            }
        }
        for (BlockingClient client : partial) {
            client.socket.setSoTimeout(400);
            try {
                assertThat(client.readResponse()).isEqualTo("E53200 closed");
                refused++;
            } catch (SocketTimeoutException stillWaiting) {
                // The router reserved memory for this message and waits for the rest.
            } catch (IOException reset) {
                refused++;
            }
        }
        assertThat(refused).isBetween(3, 5);
        assertThat(normalClient.showValue("memory", "incoming")).isBetween(1L, 256L << 10);
        assertThat(normalClient.showValue("idle", "ended_no_memory")).isEqualTo(refused);
        partial.forEach(
                client -> {
                    try {
                        client.close();
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                });
        while (normalClient.showValue("memory", "incoming") > 0) {
            Thread.sleep(10);
        }
        assertThat(normalClient.read("after")).isEqualTo("ok");
    }

    @Test
    void connectionsPerAddressAndCustomerAreLimited() throws Exception {
        startRouter("per_address = 3\nper_customer = 2");
        List<BlockingClient> sameAddress = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            BlockingClient client = connect("127.0.0.9");
            assertThat(client.startUp()).isEqualTo("ready");
            sameAddress.add(client);
        }
        assertThat(connect("127.0.0.9").readResponse()).isEqualTo("E53300 250 closed");
        BlockingClient otherAddress = connect("127.0.0.10");
        assertThat(otherAddress.startUp()).isEqualTo("ready");
        for (int i = 0; i < 3; i++) {
            sameAddress.get(i).sendRead("c" + i, "read", "two", "k");
            assertThat(sameAddress.get(i).readResponse()).isEqualTo("ok");
        }
        assertThat(sameAddress.get(0).readResponse()).isEqualTo("closed");
        assertThat(otherAddress.showValue("idle", "ended_customer_full")).isEqualTo(1);
        assertThat(sameAddress.get(1).read("again")).isEqualTo("ok");
        assertThat(connect("127.0.0.9").startUp()).isEqualTo("ready");
    }

    @Test
    void acceptRateIsLimitedAndQueuedConnectionsAreAccepted() throws Exception {
        startRouter("connections = 100000\nnew_per_second = 100\nnew_at_once = 1");
        long startNanos = System.nanoTime();
        List<BlockingClient> clients = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            clients.add(connect());
        }
        for (BlockingClient client : clients) {
            assertThat(client.startUp()).isEqualTo("ready");
        }
        assertThat(System.nanoTime() - startNanos)
                .isGreaterThan(TimeUnit.MILLISECONDS.toNanos(380));
        // The limit is capped by the number of available descriptors.
        assertThat(clients.get(0).showValue("idle", "most")).isBetween(4_000L, 8_000L);
    }

    /**
     * Guards against connections that never complete a startup or a message, or never send a first
     * request; the error and the counter tell the cases apart.
     */
    @ParameterizedTest(name = "{0} bytes of a startup message, {1} of a request: {2}")
    @CsvSource({
        "0, 0, E57P05 closed, too_slow",
        "5, 0, E57P05 closed, too_slow",
        "99, 7, E57P05 closed, too_slow",
        "99, 0, closed, idle_too_long"
    })
    void stalledConnectionsAreClosed(
            int startupBytes, int requestBytes, String response, String reason) throws Exception {
        startRouter("startup_time = \"200ms\"\nmessage_time = \"200ms\"\ngreeted_time = \"200ms\"");
        BlockingClient served = servedClient();
        BlockingClient slow = connect();
        byte[] startupMessage = Encoder.startupMessage("client", "core");
        slow.send(Arrays.copyOf(startupMessage, Math.min(startupBytes, startupMessage.length)));
        if (startupBytes > startupMessage.length) {
            assertThat(slow.readResponse()).isEqualTo("ready");
            slow.send(Arrays.copyOf(write("w"), requestBytes));
        }
        assertThat(slow.readResponse()).isEqualTo(response);
        assertThat(served.showValue("idle", "ended_" + reason)).isEqualTo(1);
        assertThat(served.read("still")).isEqualTo("ok");
    }
}
