package ironwind.lab;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;
import ironwind.config.OperatorSettings;
import ironwind.config.RouterConfig;
import ironwind.lab.LabClient.Answer;
import ironwind.net.Log;
import ironwind.net.Router;
import ironwind.pg.Encoder;
import ironwind.standin.Loop;
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
 * What befalls many connections, caused on sockets between a router and stand-ins, and counted at
 * the far side.
 */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class IdleRouterTest {
    private static final String SETTINGS =
            """
            {"period_us":5000,"peers_total":1,"zones":["north"],"kinds":["plain"],
             "tenants":[{"name":"one","quota_rps":0},{"name":"two","quota_rps":0}],
             "lanes":[{"name":"read","effect":"retryable","deadline_us":8000000,"goal_time_us":4000000,"worth":2.0},
                      {"name":"write","effect":"fragile","deadline_us":8000000,"goal_time_us":4000000,"worth":6.0}],
             "extra":{"read_level":["loose","update"],"when_behind":"off"},
             "caps":{"cancel":true,"may_probe":true,"parallel_tries":false,"most_tries":2,"retry_after":true,
                     "max_retry_after_us":250000,"connect_timeout_us":1000000,"idle_close_us":60000000},
             "rules":{"answer_slack_us":20000,"drain_grace_us":500000},"prices":{"probe":0.01}}""";

    @TempDir private Path folder;
    private final List<AutoCloseable> opened = new ArrayList<>();
    private Loop loop;
    private StandInHost primary;
    private StandInDiscovery discovery;
    private Router router;
    private int asked;

    @BeforeEach
    void startHosts() throws IOException {
        loop = new Loop("stand-ins");
        primary = new StandInHost(loop, true, 2_000_000).recording();
        discovery = new StandInDiscovery(List.of(primary, new StandInHost(loop, false, 2_000_000)));
    }

    @AfterEach
    void stop() throws Exception {
        for (AutoCloseable each : opened) {
            each.close();
        }
        router.stop().await(10, TimeUnit.SECONDS);
        discovery.close();
        loop.close();
    }

    /** Begins a router whose block {@code idle} has these lines. */
    private void begin(String idle) throws Exception {
        RouterConfig facts =
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
        Path file = folder.resolve("i.hcl");
        Files.writeString(file, "idle {\n" + idle + "\n}\n");
        router =
                new Router(
                                facts,
                                OperatorSettings.read(file, facts.clientLimits()),
                                new Log(new PrintStream(PrintStream.nullOutputStream())))
                        .withoutWarmup();
        router.start().await(10, TimeUnit.SECONDS);
        Talk first = talk();
        first.greet();
        first.send(Encoder.query(""));
        assertThat(first.answer()).isEqualTo("ready");
        first.close();
    }

    private Talk talk() throws IOException {
        return talk("127.0.0.1");
    }

    private Talk talk(String from) throws IOException {
        Talk talk = new Talk(router.port(), from);
        opened.add(talk);
        return talk;
    }

    /** One that has been served. */
    private Talk known() throws IOException {
        Talk talk = talk();
        assertThat(talk.greet()).isEqualTo("ready");
        assertThat(talk.read("known-" + asked++)).isEqualTo("ok");
        return talk;
    }

    private static byte[] write(String id) {
        return Encoder.query(
                "/* id="
                        + id
                        + ",c=write,d=4000,cluster=0,t=one */ INSERT INTO state (uid) VALUES ('k')");
    }

    /** Many connections that a loop of their own holds; each has been served once. */
    private List<LabClient> crowd(int count, Map<Answer, Integer> answers, CountDownLatch answered)
            throws Exception {
        CountDownLatch up = new CountDownLatch(count);
        List<LabClient> clients = new ArrayList<>();
        LabClient.Listener listener =
                new LabClient.Listener() {
                    @Override
                    public void greeted(LabClient client) {
                        client.read("up-" + asked++, "k", 8_000, 0);
                    }

                    @Override
                    public void answered(LabClient client, Answer answer, long at) {
                        if (up.getCount() > 0) {
                            up.countDown();
                        } else {
                            answers.merge(answer, 1, Integer::sum);
                            answered.countDown();
                        }
                    }
                };
        loop.post(
                () -> {
                    for (int i = 0; i < count; i++) {
                        clients.add(
                                LabClient.connect(
                                        loop,
                                        null,
                                        new InetSocketAddress("127.0.0.1", router.port()),
                                        listener));
                    }
                });
        up.await();
        return clients;
    }

    /**
     * Guards against a crowd that wakes at once and takes its RPCs, or those of active clients,
     * along.
     */
    @ParameterizedTest(name = "turns of {0} open RPCs, {1} to wait: {2}")
    @CsvSource({"16, 8s, all are served", "4, 1ms, some are pushed back"})
    void whenAllWakeEachGetsItsOneAnswer(int open, String crowdTime, String what) throws Exception {
        begin(
                "open_rpcs = "
                        + open
                        + "\ncrowd_time = \""
                        + crowdTime
                        + "\"\nactive_time = \"100ms\"");
        int count = 1_000;
        Map<Answer, Integer> answers = new EnumMap<>(Answer.class);
        CountDownLatch answered = new CountDownLatch(count);
        List<LabClient> crowd = crowd(count, answers, answered);
        Thread.sleep(150);
        Talk active = known();
        loop.post(() -> crowd.forEach(client -> client.read("wake-" + asked++, "k", 8_000, 0)));
        while (answered.getCount() > 0) {
            assertThat(active.read("active-" + asked++)).isEqualTo("ok");
        }
        assertThat(answers.getOrDefault(Answer.OK, 0) + answers.getOrDefault(Answer.PUSHED_BACK, 0))
                .isEqualTo(count);
        if (what.startsWith("all")) {
            assertThat(answers).containsEntry(Answer.OK, count);
        } else {
            assertThat(answers).containsKey(Answer.PUSHED_BACK);
            assertThat(active.shown("idle", "turns_too_late")).isPositive();
        }
        assertThat(active.shown("idle", "most_waiting_for_turn")).isPositive();
        assertThat(active.shown("idle", "waiting_for_turn")).isZero();
        assertThat(active.shown("memory", "open")).isZero();
    }

    /** Guards against memory that follows the number of clients that ask and do not read. */
    @Test
    void slowReadersAreEndedAndOthersServed() throws Exception {
        begin("owed_all = \"2MiB\"\nowed_each = \"128KiB\"\nslow_reader_time = \"300ms\"");
        Talk other = known();
        int count = 60;
        List<LabClient> slow = crowd(count, new EnumMap<>(Answer.class), new CountDownLatch(1));
        loop.post(
                () ->
                        slow.forEach(
                                client ->
                                        client.readDeaf(
                                                "deaf-" + asked++, "big-65536", 8_000, 90)));
        long most = 0;
        long ended = 0;
        while (ended < count) {
            assertThat(other.read("other-" + asked++)).isEqualTo("ok");
            most = Math.max(most, other.shown("memory", "owed"));
            ended =
                    other.shown("idle", "ended_slow_reader")
                            + other.shown("idle", "ended_owed_too_much");
        }
        assertThat(most).isBetween(1L, (2L << 20) + (1 << 18));
        assertThat(other.shown("memory", "owed")).isZero();
        assertThat(other.shown("clients", "served") + other.shown("clients", "busy"))
                .isLessThanOrEqualTo(1);
    }

    /** Guards against an answer that was cut short and looks whole. */
    @Test
    void aHalfWrittenAnswerIsSeenToBeIncomplete() throws Exception {
        begin("owed_all = \"2MiB\"\nowed_each = \"128KiB\"\nslow_reader_time = \"300ms\"");
        Talk other = known();
        Talk slow = talk();
        slow.greet();
        int asks = 400;
        for (int i = 0; i < asks; i++) {
            slow.ask("slow-" + i, "read", "one", "big-65536");
        }
        while (other.shown("idle", "ended_slow_reader") == 0) {
            Thread.sleep(20);
        }
        int whole = 0;
        String last = "";
        try {
            for (last = slow.answer(); last.equals("ok"); last = slow.answer()) {
                whole++;
            }
        } catch (IOException reset) {
            last = "closed";
        }
        assertThat(last).isEqualTo("closed");
        assertThat(whole).isLessThan(asks);
    }

    /** Guards against connections that come in a storm and push out those that carry something. */
    @Test
    void aStormMeetsAFullHouse() throws Exception {
        begin("connections = 20\nmessage_time = \"20s\"");
        List<Talk> busy = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            busy.add(known());
        }
        for (int i = 0; i < 20; i++) {
            // A message that has begun: this one never gives way.
            busy.get(i).send(Arrays.copyOf(write("w" + i), 20));
        }
        Thread.sleep(50);
        List<Talk> storm = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            storm.add(talk());
        }
        for (Talk talk : storm) {
            assertThat(talk.answer()).isEqualTo("E53300 250 closed");
        }
        for (int i = 0; i < 20; i++) {
            byte[] whole = write("w" + i);
            busy.get(i).send(Arrays.copyOfRange(whole, 20, whole.length));
            assertThat(busy.get(i).answer()).isEqualTo("ok");
        }
        assertThat(busy.get(0).shown("idle", "ended_all_busy")).isEqualTo(300);
        Talk late = known();
        assertThat(late.shown("idle", "ended_gave_way")).isEqualTo(1);
        assertThat(primary.ran()).hasSize(20).doesNotContainValue(2);
    }

    /**
     * Guards against the loss of an RPC whose client wrote it just as its connection was to give
     * way.
     */
    @Test
    void whoWakesAsItIsToGiveWayIsServed() throws Exception {
        begin("connections = 1");
        Talk inside = known();
        for (int i = 0; i < 25; i++) {
            inside.send(write("last-" + i));
            Talk next = talk();
            assertThat(inside.answer()).isEqualTo("ok");
            String greeting = next.greet();
            if (greeting.equals("ready")) {
                inside.close();
                inside = next;
            } else {
                assertThat(greeting).startsWith("E53300");
                next.close();
            }
        }
        assertThat(primary.ran()).hasSize(25).doesNotContainValue(2);
    }

    @Test
    void whenAskedToEndTheIdleGoAndTheBusyAreAnswered() throws Exception {
        begin("");
        crowd(600, new EnumMap<>(Answer.class), new CountDownLatch(1));
        Talk asking = known();
        Talk idle = known();
        Future<Void> drained = router.drain();
        int served = 0;
        String answer = asking.read("drain-0");
        while (answer.equals("ok")) {
            served++;
            try {
                answer = asking.read("drain-" + served);
            } catch (IOException closedBetween) {
                answer = "closed";
            }
        }
        assertThat(answer).isEqualTo("closed");
        assertThat(served).isGreaterThan(10);
        assertThat(idle.answer()).isEqualTo("closed");
        drained.await(10, TimeUnit.SECONDS);
    }

    /** Guards against messages that begin and take all memory before they end. */
    @Test
    void messagesThatFindNoMemoryEndInAnError() throws Exception {
        begin(
                "memory = \"256KiB\"\nowed_all = \"64KiB\"\nowed_each = \"64KiB\"\n"
                        + "message_time = \"20s\"");
        Talk other = known();
        List<Talk> begun = new ArrayList<>();
        byte[] head = Arrays.copyOf(Encoder.query("x".repeat(130_000)), 60_000);
        int refused = 0;
        for (int i = 0; i < 6; i++) {
            Talk talk = talk();
            talk.greet();
            begun.add(talk);
            talk.send(head);
            Thread.sleep(30);
            try {
                talk.send(head);
            } catch (IOException refusedAlready) {
                // told below
            }
        }
        for (Talk talk : begun) {
            talk.socket.setSoTimeout(400);
            try {
                assertThat(talk.answer()).isEqualTo("E53200 closed");
                refused++;
            } catch (SocketTimeoutException held) {
                // its memory was lent
            } catch (IOException reset) {
                refused++;
            }
        }
        assertThat(refused).isBetween(3, 5);
        assertThat(other.shown("memory", "incoming")).isBetween(1L, 256L << 10);
        assertThat(other.shown("idle", "ended_no_memory")).isEqualTo(refused);
        begun.forEach(
                talk -> {
                    try {
                        talk.close();
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                });
        while (other.shown("memory", "incoming") > 0) {
            Thread.sleep(10);
        }
        assertThat(other.read("after")).isEqualTo("ok");
    }

    @Test
    void anAddressAndACustomerHaveTheirShare() throws Exception {
        begin("per_address = 3\nper_customer = 2");
        List<Talk> near = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Talk talk = talk("127.0.0.9");
            assertThat(talk.greet()).isEqualTo("ready");
            near.add(talk);
        }
        assertThat(talk("127.0.0.9").answer()).isEqualTo("E53300 250 closed");
        Talk far = talk("127.0.0.10");
        assertThat(far.greet()).isEqualTo("ready");
        for (int i = 0; i < 3; i++) {
            near.get(i).ask("c" + i, "read", "two", "k");
            assertThat(near.get(i).answer()).isEqualTo("ok");
        }
        assertThat(near.get(0).answer()).isEqualTo("closed");
        assertThat(far.shown("idle", "ended_customer_full")).isEqualTo(1);
        assertThat(near.get(1).read("again")).isEqualTo("ok");
        assertThat(talk("127.0.0.9").greet()).isEqualTo("ready");
    }

    @Test
    void theDoorKeepsItsRateAndWhatWaitsComesIn() throws Exception {
        begin("connections = 100000\nnew_per_second = 100\nnew_at_once = 1");
        long begun = System.nanoTime();
        List<Talk> all = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            all.add(talk());
        }
        for (Talk talk : all) {
            assertThat(talk.greet()).isEqualTo("ready");
        }
        assertThat(System.nanoTime() - begun).isGreaterThan(TimeUnit.MILLISECONDS.toNanos(380));
        // More than there are descriptors for is not promised.
        assertThat(all.get(0).shown("idle", "most")).isBetween(4_000L, 8_000L);
    }

    /**
     * Guards against start-ups and messages that never end, each told apart by the error and the
     * count.
     */
    @ParameterizedTest(name = "{0} bytes of a start-up, {1} of a request: {2}")
    @CsvSource({
        "0, 0, E57P05 closed, too_slow",
        "5, 0, E57P05 closed, too_slow",
        "99, 7, E57P05 closed, too_slow",
        "99, 0, closed, idle_too_long"
    })
    void whatStandsStillIsEnded(int startup, int request, String answer, String reason)
            throws Exception {
        begin("startup_time = \"200ms\"\nmessage_time = \"200ms\"\ngreeted_time = \"200ms\"");
        Talk known = known();
        Talk slow = talk();
        byte[] hello = Encoder.startup("client", "core");
        slow.send(Arrays.copyOf(hello, Math.min(startup, hello.length)));
        if (startup > hello.length) {
            assertThat(slow.answer()).isEqualTo("ready");
            slow.send(Arrays.copyOf(write("w"), request));
        }
        assertThat(slow.answer()).isEqualTo(answer);
        assertThat(known.shown("idle", "ended_" + reason)).isEqualTo(1);
        assertThat(known.read("still")).isEqualTo("ok");
    }
}
