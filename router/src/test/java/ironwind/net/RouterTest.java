package ironwind.net;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import io.vertx.core.Future;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import ironwind.Logic;
import ironwind.config.RouterConfig;
import ironwind.model.Group;
import ironwind.model.Inbound;
import ironwind.model.Span;
import ironwind.pg.ClientMessage;
import ironwind.pg.Encoder;
import ironwind.pg.Frame;
import ironwind.pg.FrameDecoder;
import ironwind.pg.HostMessage;
import ironwind.pg.PgError;
import ironwind.pg.Row;
import ironwind.pg.Statement;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A router on loopback between clients, one group of hosts and discovery, all played from the
 * public protocols.
 */
@Timeout(value = 10, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class RouterTest {
    private static final String CUT = "no answer, and the connection is cut";
    private static final String SILENT = "no answer at all";

    /** Discovery's answers come in pieces of so many bytes. */
    private static final int PIECE = 1_021;

    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final String READ =
            "/* id=r%d,c=read,d=%d,cluster=2 */ SELECT val FROM state WHERE uid = 'k'";
    private static final String WRITE =
            "/* id=r%d,c=write,d=%d,k=m,cluster=2 */ INSERT INTO state (uid) VALUES ('k')";
    private static final JsonObject SETTINGS =
            new JsonObject(
                    """
        {"period_us": 5000, "peers_total": 1, "zones": ["north"], "kinds": ["plain"], "tenants": [],
         "lanes": [
          {"name": "read", "effect": "retryable", "deadline_us": 2000000, "goal_time_us": 400000, "worth": 2.0},
          {"name": "write", "effect": "fragile", "deadline_us": 2000000, "goal_time_us": 400000, "worth": 6}],
         "extra": {"read_level": ["loose", "update"], "when_behind": "off"},
         "caps": {"cancel": true, "may_probe": true, "parallel_tries": true, "most_tries": 4, "retry_after": true,
                  "max_retry_after_us": 250000, "connect_timeout_us": 250000, "idle_close_us": 30000000},
         "rules": {"answer_slack_us": 20000, "drain_grace_us": 500000}, "prices": {"probe": 0.01}}""");

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final BlockingQueue<String> lists = new LinkedBlockingQueue<>();
    private final List<AutoCloseable> opened = new ArrayList<>();
    private volatile byte[] value = {0, (byte) 0xff, 'x', 0};
    private StandInHost primary;
    private StandInHost replica;
    private HttpServer discovery;
    private RouterConfig facts;
    private Router router;
    private int asked;

    @BeforeEach
    void start() throws Exception {
        primary = new StandInHost("primary");
        replica = new StandInHost("replica");
        discovery = discovery(lists);
        facts = RouterConfig.read(configuration(discovery));
    }

    private HttpServer discovery(BlockingQueue<String> answers) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(LOOPBACK, 0), 0);
        server.setExecutor(threads);
        server.createContext(
                "/registry/instances",
                exchange -> {
                    try {
                        String answer = answers.take();
                        if (answer.equals(SILENT)) {
                            new CountDownLatch(1).await();
                        } else if (answer.equals(CUT)) {
                            return;
                        }
                        byte[] body = answer.getBytes(StandardCharsets.UTF_8);
                        exchange.sendResponseHeaders(200, body.length);
                        for (int from = 0; from < body.length; from += PIECE) {
                            exchange.getResponseBody()
                                    .write(body, from, Math.min(PIECE, body.length - from));
                            exchange.getResponseBody().flush();
                        }
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    } finally {
                        exchange.close();
                    }
                });
        server.start();
        return server;
    }

    private static JsonObject configuration(HttpServer discovery) {
        return new JsonObject()
                .put("name", "n1")
                .put("listen", "127.0.0.1:0")
                .put("discovery", "127.0.0.1:" + discovery.getAddress().getPort())
                .put("seed", "8c1f30d27a5be964")
                .put("limits", new JsonObject().put("sockets", 256))
                .put("settings", SETTINGS)
                .put(
                        "known",
                        new JsonObject()
                                .put("version", 1)
                                .put("full", true)
                                .put("servers", new JsonArray()));
    }

    private Router limited(int sockets, Span hostIdle) {
        return new Router(
                        new RouterConfig(
                                facts.name(),
                                facts.listen(),
                                facts.discovery(),
                                facts.seed(),
                                sockets,
                                facts.memoryMb(),
                                facts.initialHostList(),
                                facts.deployment(),
                                facts.names(),
                                facts.connectTimeout(),
                                hostIdle,
                                facts.answerSlack()),
                        new Log(new PrintStream(log, true)))
                .withoutWarmup();
    }

    private void begin(Router next) throws Exception {
        router = next;
        router.start().await(10, TimeUnit.SECONDS);
    }

    @AfterEach
    void stop() throws Exception {
        if (router != null) {
            router.stop().await(10, TimeUnit.SECONDS);
        }
        for (AutoCloseable each : opened) {
            each.close();
        }
        discovery.stop(0);
        threads.shutdownNow();
    }

    private String list() {
        return list(2, primary.entry(), replica.entry());
    }

    private static String list(int version, JsonObject... entries) {
        return new JsonObject()
                .put("version", version)
                .put("full", true)
                .put("servers", new JsonArray(List.of(entries)))
                .encode();
    }

    /** A client of a router that has heard the list. */
    private Wire client() throws Exception {
        lists.add(list());
        if (router == null) {
            begin(new Router(facts, new Log(new PrintStream(log, true))).withoutWarmup());
        }
        return admitted();
    }

    private Wire admitted() throws IOException {
        Wire client = connect();
        client.send(Encoder.startup("client", "core"), Encoder.query(""));
        assertThat(client.answer()).isEqualTo("RSSSSZ");
        assertThat(client.answer()).isEqualTo("IZ");
        return client;
    }

    private Wire connect() throws IOException {
        Wire wire = new Wire(new Socket(LOOPBACK, router.port()));
        opened.add(wire);
        return wire;
    }

    private void readIsServed(Wire client) throws IOException {
        client.send(ask(READ, 900));
        assertThat(client.answer()).isEqualTo("TDCZ");
    }

    private byte[] ask(String form, long waits) {
        return Encoder.query(form.formatted(asked++, waits));
    }

    /**
     * What a host does with its first request stands before the slash, with later ones after it.
     */
    @ParameterizedTest(name = "{0} where the primary does {1} and the replica {2}: {3}")
    @CsvSource({
        "read, row, row, TDCZ",
        "read, row, full/row, TDCZ",
        "read, row, error/row, TDCZ",
        "read, row, reset/row, TDCZ",
        "read, row, close/row, TDCZ",
        "read, full, row and close, TDCZ",
        "write, row and close, miss, TDCZ",
        "read, row, hang up, TDCZ",
        "read, row, mute, TDCZ",
        "read, full, full, E53300 250",
        "write, row, row, TDCZ",
        "write, full/row, row, TDCZ",
        "write, no room/row, row, TDCZ",
        "write, babble, row, E53300 200",
        "write, no room, miss, E53300 200",
        "write, miss/row, row, TDCZ",
        "write, error/row, row, E40003",
        "write, reset/row, row, E40003",
        "write, close/row, row, E40003",
        "write, garbage/row, row, E40003",
        "read, row, garbage/row, TDCZ",
        "write, two rows/row, row, E40003",
        "read, row, two rows/row, TDCZ",
        "write, huge/row, row, E40003",
        "write, half/row, row, E40003",
        "read, row, half/row, TDCZ",
        "read, row, tag first/row, TDCZ",
        "read, row, odd load, TDCZ",
        "write, silent, row, E40003",
        "write, full, miss, E53300 200",
        "write, hang up, miss, E53300 200",
        "write, mute, miss, E53300 200"
    })
    void eachRpcGetsOneAnswerAndNoNonIdempotentOneRunsTwice(
            String method, String primarys, String replicas, String answer) throws Exception {
        primary.acts = primarys.split("/");
        replica.acts = replicas.split("/");
        Wire client = client();
        client.send(ask(method.equals("read") ? READ : WRITE, 800), Encoder.query(""));
        assertThat(client.answer()).isEqualTo(answer);
        assertThat(client.answer()).isEqualTo("IZ");
        assertThat(primary.mayHaveRun + replica.mayHaveRun)
                .isLessThanOrEqualTo(method.equals("read") ? 4 : 1);
        client.send(Encoder.query("SHOW stats"));
        assertThat(client.answer()).isEqualTo("TDCZ");
        assertThat(new String(client.lastData, StandardCharsets.UTF_8))
                .contains("rpcs=1 ")
                .containsPattern(
                        Map.of(
                                        'T',
                                        "ok=1 pushed_back=0 aborted=0",
                                        '5',
                                        "ok=0 pushed_back=1 aborted=0",
                                        '4',
                                        "ok=0 pushed_back=0 aborted=1")
                                .get(answer.charAt(answer.startsWith("E") ? 1 : 0)));
        assertThat(log.toString()).doesNotContain("ERROR");
    }

    @Test
    void valueAndStatementPassThroughAndTheTimeLeftIsTold() throws Exception {
        Wire client = client();
        client.send(ask(READ, 700));
        assertThat(client.answer()).isEqualTo("TDCZ");
        assertThat(client.lastData).endsWith(value);
        Statement sent = Statement.parse(replica.requests.take());
        assertThat(sent.text()).isEqualTo("SELECT val FROM state WHERE uid = 'k'");
        assertThat(sent.attributes()).containsEntry("id", "r0").containsEntry("cluster", "2");
        assertThat(sent.requiredLong("d", 1, 1_000)).isBetween(1L, 700L);
    }

    @Test
    void oneConnectionCarriesManyRequestsAndAnswersComeInOrder() throws Exception {
        Wire client = client();
        for (int i = 0; i < 3; i++) {
            readIsServed(client);
            Thread.sleep(5);
        }
        assertThat(replica.connections).isEqualTo(1);
        client.send(ask(READ, 900), Encoder.query("SHOW stats"), Encoder.query("nonsense"));
        assertThat(List.of(client.answer(), client.answer(), client.answer()))
                .containsExactly("TDCZ", "TDCZ", "E0A000");
        assertThat(new String(client.lastData, StandardCharsets.UTF_8)).contains("rpcs=4");
    }

    /** Guards against one client's bad bytes taking others along. */
    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource({
        "5100000003, E08P01 closed",
        "51ffffffff, E08P01 closed",
        "517f000000, E54000 closed",
        "ff00000004, E08P01 closed",
        "510000000a, E57P05 closed",
        "'', ' closed'",
        "5101000000, E54000 closed",
        "3f00000004, E08P01 closed",
        "50000000045300000004, E0A000",
        "51000000062000, IZ",
        "510000000a2f2a20613d00, E42601"
    })
    void malformedInputEndsInAnErrorForThatClientAlone(String hex, String answer) throws Exception {
        Wire other = client();
        Wire bad = connect();
        bad.send(Encoder.startup("client", "core"));
        assertThat(bad.answer()).isEqualTo("RSSSSZ");
        bad.send(HexFormat.of().parseHex(hex));
        long begun = System.nanoTime();
        assertThat(bad.answer()).isEqualTo(answer);
        assertThat(System.nanoTime() - begun).isLessThan(TimeUnit.SECONDS.toNanos(3));
        other = answer.contains("57P05") || answer.equals(" closed") ? admitted() : other;
        readIsServed(other);
    }

    /**
     * Guards against comments that would be taken at their word, and against groups that come to be
     * by being named.
     */
    @ParameterizedTest(name = "{0}")
    @ValueSource(
            strings = {
                "id=x,c=read,d=0,cluster=2",
                "id=x,c=read,d=-1,cluster=2",
                "id=x,c=read,d=x,cluster=2",
                "id=x,c=read,d=8100,cluster=2",
                "id=x,c=read,d=9223372036854775807,cluster=2",
                "id=x,c=read,d=9,cluster=3",
                "id=x,c=read,d=9,cluster=4294967298",
                "id=x,c=nosuch,d=9,cluster=2",
                "c=read,d=9,cluster=2",
                "id=x,c=read,d=9,cluster=2,after=soon",
                "id=open,c=read,d=9,cluster=2",
                "id=x,c=read,d=9,id=y,cluster=2"
            })
    void whatCannotBeTakenIsAnsweredWithAnErrorAndReachesNoHost(String comment) throws Exception {
        replica.acts = new String[] {"wait"};
        Wire other = client();
        other.send(
                Encoder.query(
                        "/* id=open,c=read,d=2000,cluster=2 */ SELECT val FROM state WHERE uid = 'k'"));
        replica.requests.take();
        Wire bad = admitted();
        bad.send(Encoder.query("/* " + comment + " */ SELECT 2"), Encoder.query(""));
        assertThat(bad.answer()).isEqualTo("E42601");
        assertThat(bad.answer()).isEqualTo("IZ");
        replica.released.countDown();
        assertThat(other.answer()).isEqualTo("TDCZ");
        assertThat(replica.requests).isEmpty();
    }

    /**
     * Guards against connections that say nothing and take all descriptors: they give way, known
     * ones stay.
     */
    @Test
    void silentConnectionsGiveWayToThoseThatSpeak() throws Exception {
        begin(limited(32 + 20, facts.hostIdleTimeout()));
        Wire known = client();
        readIsServed(known);
        List<Wire> silent = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            silent.add(connect());
        }
        Wire late = admitted();
        for (Wire client : List.of(late, known)) {
            readIsServed(client);
        }
        for (Wire client : silent.subList(0, 48)) {
            assertThat(client.answer()).isEqualTo(" closed");
        }
        assertThat(silent.get(59).answer()).isEqualTo("E57P05 closed");
    }

    /**
     * Guards against what a host sends behind an answer becoming the answer to the next request.
     */
    @ParameterizedTest
    @ValueSource(strings = {"row and copy", "row and late copy", "row and noise"})
    void whatComesBehindAnAnswerIsNoAnswer(String act) throws Exception {
        replica.acts = new String[] {act, "row"};
        Wire client = client();
        readIsServed(client);
        value = "the next".getBytes(StandardCharsets.UTF_8);
        readIsServed(client);
        assertThat(client.lastData).endsWith(value);
        assertThat(replica.connections).isEqualTo(2);
    }

    /** Guards against a rehearsal that reaches hosts, or whose answers reach clients. */
    @Test
    void theRehearsalStaysInside() throws Exception {
        begin(new Router(facts, new Log(new PrintStream(log, true))));
        Wire client = client();
        client.send(
                Encoder.query("/* id=rehearsal-1,c=0,d=9,cluster=0 */ SELECT 1"),
                Encoder.query("SHOW stats"));
        assertThat(client.answer()).isEqualTo("E42601");
        assertThat(client.answer()).isEqualTo("TDCZ");
        assertThat(new String(client.lastData, StandardCharsets.UTF_8))
                .contains("rpcs=0 ", "call_outs=0 ");
        assertThat(primary.connections + replica.connections).isZero();
        assertThat(log.toString()).containsPattern("INFO rehearsed rpcs=[1-9]");
    }

    /** Guards against news of the old address, late or held back, that overrules the new one's. */
    @Test
    void aReloadMovesTheWatchAndLeavesWhatTheOldOneSays() throws Exception {
        Wire client = client();
        readIsServed(client);
        StandInHost third = new StandInHost("replica");
        BlockingQueue<String> news = new LinkedBlockingQueue<>();
        HttpServer next = discovery(news);
        news.add(list(1, primary.entry(), third.entry().put("id", "third")));
        router.reload(RouterConfig.read(configuration(next))).await(10, TimeUnit.SECONDS);
        while (third.requests.isEmpty()) {
            readIsServed(client);
        }
        lists.add(list(9, primary.entry(), replica.entry()));
        replica.requests.clear();
        for (int i = 0; i < 5; i++) {
            readIsServed(client);
        }
        assertThat(replica.requests).isEmpty();
        next.stop(0);
    }

    /**
     * Guards against a request that crosses its host's closing of an idle connection, and may have
     * run.
     */
    @Test
    void connectionsToHostsAreClosedBeforeTheirHostsCloseThem() throws Exception {
        begin(limited(facts.maxSockets(), Span.ofMillis(200)));
        Wire client = client();
        readIsServed(client);
        assertThat(replica.ends.take()).isEqualTo("closed by the router");
        readIsServed(client);
        assertThat(replica.connections).isEqualTo(2);
    }

    /** Of four sockets two are for clients, one is for one that comes, and one is for hosts. */
    @Test
    void whereSocketsAreShortIdleConnectionsGiveWay() throws Exception {
        begin(limited(32 + 4, facts.hostIdleTimeout()));
        Wire first = client();
        Wire second = admitted();
        readIsServed(second);
        second.send(ask(WRITE, 900));
        assertThat(second.answer()).isEqualTo("TDCZ");
        Wire third = admitted();
        assertThat(first.answer()).isEqualTo(" closed");
        readIsServed(third);
        assertThat(replica.ends.take()).isEqualTo("closed by the router");
    }

    /**
     * Guards against a client that asks without end and waits for no answer: it is read as it is
     * answered.
     */
    @Test
    void aClientFarAheadOfItsAnswersIsNotReadFrom() throws Exception {
        replica.acts = new String[] {"wait"};
        primary.acts = replica.acts;
        Wire client = client();
        Wire other = admitted();
        client.send(
                Collections.nCopies(20, 0).stream()
                        .map(i -> ask(READ, 5_000))
                        .toArray(byte[][]::new));
        do {
            other.send(Encoder.query("SHOW stats"));
            other.answer();
        } while (!new String(other.lastData, StandardCharsets.UTF_8).contains("rpcs=16 "));
        replica.released.countDown();
        primary.released.countDown();
        for (int i = 0; i < 20; i++) {
            assertThat(client.answer()).isIn("TDCZ", "E53300 250");
        }
    }

    @Test
    void whatCameBeforeMalformedInputIsStillAnswered() throws Exception {
        replica.acts = new String[] {"wait"};
        Wire client = client();
        client.send(ask(READ, 2_000), HexFormat.of().parseHex("3f00000004"));
        replica.requests.take();
        replica.released.countDown();
        assertThat(client.answer()).isEqualTo("TDCZ");
        assertThat(client.answer()).isEqualTo("E08P01 closed");
    }

    /** Values may have 64 KiB: in hexadecimal in a statement, as they are in an answer. */
    @Test
    void largeValuesPassThroughBothWays() throws Exception {
        value = new byte[64 * 1024];
        new SplittableRandom(1).nextBytes(value);
        String statement =
                "INSERT INTO state (uid, val) VALUES ('k', '\\x"
                        + HexFormat.of().formatHex(value)
                        + "')";
        Wire client = client();
        client.send(ask("/* id=r%d,c=write,d=%d,cluster=2 */ " + statement, 2_000));
        assertThat(client.answer()).isEqualTo("TDCZ");
        assertThat(client.lastData).endsWith(value).hasSize(6 + value.length);
        assertThat(primary.requests.take()).endsWith(statement);
    }

    @Test
    void aClientThatLeavesCallsItsRpcOff() throws Exception {
        primary.acts = new String[] {"silent"};
        replica.acts = new String[] {"silent"};
        Wire client = client();
        client.send(ask(READ, 900));
        assertThat(replica.requests.take()).contains("id=r0");
        client.close();
        assertThat(replica.ends.take()).isEqualTo("closed by the router");
    }

    @Test
    void drainingServesWhatCameAndClosesBetweenRequests() throws Exception {
        replica.acts = new String[] {"wait"};
        Wire busy = client();
        Wire idle = admitted();
        busy.send(ask(READ, 2_000));
        replica.requests.take();
        Future<Void> drained = router.drain();
        assertThat(idle.answer()).isEqualTo(" closed");
        assertThat(drained.isComplete()).isFalse();
        replica.released.countDown();
        assertThat(busy.answer()).isEqualTo("TDCZ");
        assertThat(busy.answer()).isEqualTo(" closed");
        drained.await(10, TimeUnit.SECONDS);
    }

    /**
     * Guards against an RPC that was taken before the end was asked for, and whose client waits
     * longer than the process may live: it was lost with the process, where its call-out was out as
     * where it was held.
     */
    @ParameterizedTest(name = "at a primary that does {0}: {1}")
    @CsvSource({"silent, E40003", "miss, E53300 200"})
    void drainingAnswersWhatWouldOutliveTheProcess(String act, String answer) throws Exception {
        primary.acts = new String[] {act};
        replica.acts = new String[] {"miss"};
        Wire client = client();
        client.send(ask(WRITE, 7_900));
        primary.requests.take();
        Future<Void> ended = router.drain().compose(nothing -> router.stop());
        assertThat(client.answer()).startsWith(answer);
        ended.await(10, TimeUnit.SECONDS);
        router = null;
    }

    /**
     * 1,024 hosts and routers, and far fewer descriptors than hosts: the list comes whole though in
     * pieces, each group is served, and connections are closed in turn.
     */
    @Test
    void aLongListIsServedWholeWithFewDescriptors() throws Exception {
        JsonObject settings = SETTINGS.copy().put("peers_total", 1_024);
        facts =
                RouterConfig.read(
                        configuration(discovery)
                                .put("settings", settings)
                                .put("limits", new JsonObject().put("sockets", 96)));
        JsonObject[] entries =
                IntStream.range(0, 1_024)
                        .mapToObj(
                                i ->
                                        (i % 4 == 0 ? primary : replica)
                                                .entry()
                                                .put("id", "h" + i)
                                                .put("cell", i / 4))
                        .toArray(JsonObject[]::new);
        lists.add(list(2, entries));
        begin(new Router(facts, new Log(new PrintStream(log, true))).withoutWarmup());
        Wire client = admitted();
        for (int group = 0; group < 256; group++) {
            for (String form : List.of(READ, WRITE)) {
                client.send(
                        Encoder.query(
                                form.formatted(asked++, 1_900)
                                        .replace("cluster=2", "cluster=" + group)));
                assertThat(client.answer()).as("%s of group %d", form, group).isEqualTo("TDCZ");
            }
        }
        assertThat(log.toString()).doesNotContain("no_socket", "no_descriptor", "discovery_failed");
        assertThat(router.counters().read().get("host_connections")).isGreaterThan(500);
    }

    /** Guards against an answer of discovery, or none, that stops the router from asking again. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "nonsense",
                "{}",
                "{\"version\":7,\"servers\":[{\"id\":\"x\"}]}",
                CUT,
                SILENT
            })
    void discoveryIsAskedAgainWhateverItAnswers(String answer) throws Exception {
        lists.add(answer);
        Wire client = client();
        String last = "";
        while (!last.equals("TDCZ")) {
            client.send(ask(READ, 900));
            last = client.answer();
        }
        assertThat(log.toString())
                .containsOnlyOnce("discovery_failed")
                .containsOnlyOnce("discovery_back");
    }

    /**
     * Guards against a defect of the module: what it concerns is aborted, once, and told with its
     * place.
     */
    @ParameterizedTest(name = "a module that {0}")
    @CsvSource({"throws, UnsupportedOperationException", "forgets, IllegalStateException"})
    void anRpcThatADefectConcernsIsStillAnswered(String defect, String told) throws Exception {
        InvocationHandler module =
                (proxy, method, arguments) -> {
                    if (method.getName().equals("onRpcArrived") && defect.equals("throws")) {
                        throw new UnsupportedOperationException();
                    }
                    return method.getName().equals("group") ? new Group(2) : null;
                };
        begin(
                new Router(
                        facts,
                        new Log(new PrintStream(log, true)),
                        outbound ->
                                (Inbound)
                                        Proxy.newProxyInstance(
                                                getClass().getClassLoader(),
                                                new Class<?>[] {Inbound.class},
                                                module)));
        Wire client = client();
        client.send(ask(READ, 100), Encoder.query(""));
        assertThat(client.answer()).isEqualTo("E40003");
        assertThat(client.answer()).isEqualTo("IZ");
        assertThat(log.toString()).containsOnlyOnce("ERROR fault").contains(told, "at=ironwind");
    }

    /**
     * Guards against a wait behind a loop that stood still being taken for one in a crowd: nothing
     * else is held up.
     */
    @Test
    void whatWasReadBehindALoopThatStoodStillIsServedInWhatIsLeftOfItsTime() throws Exception {
        CountDownLatch stands = new CountDownLatch(1);
        begin(
                new Router(
                                facts,
                                new Log(new PrintStream(log, true)),
                                outbound -> {
                                    Inbound logic =
                                            new Logic(facts.deployment(), facts.seed(), outbound);
                                    return (Inbound)
                                            Proxy.newProxyInstance(
                                                    getClass().getClassLoader(),
                                                    new Class<?>[] {Inbound.class},
                                                    (proxy, method, arguments) -> {
                                                        if (method.getName().equals("onRpcArrived")
                                                                && stands.getCount() > 0) {
                                                            stands.countDown();
                                                            Thread.sleep(600);
                                                        }
                                                        return method.invoke(logic, arguments);
                                                    });
                                })
                        .withoutWarmup());
        Wire first = client();
        Wire second = admitted();
        first.send(ask(READ, 1_900));
        stands.await();
        second.send(ask(READ, 1_900));
        assertThat(first.answer()).isEqualTo("TDCZ");
        assertThat(second.answer()).isEqualTo("TDCZ");
        assertThat(log.toString()).contains("loop_stood");
    }

    /** One end of a connection, read message by message. */
    private static final class Wire implements AutoCloseable {
        private final Socket socket;
        private final FrameDecoder frames =
                new FrameDecoder(false, HostMessage.TYPES + ClientMessage.TYPES, 1 << 20);
        private byte[] lastData;

        Wire(Socket socket) {
            this.socket = socket;
        }

        void send(byte[]... messages) throws IOException {
            for (byte[] message : messages) {
                socket.getOutputStream().write(message);
            }
        }

        /** The next message, or null at the end. */
        Frame next() throws IOException {
            byte[] buffer = new byte[4_096];
            for (Frame frame = frames.next(); ; frame = frames.next()) {
                if (frame != null) {
                    return frame;
                }
                int read = socket.getInputStream().read(buffer);
                if (read < 0) {
                    return null;
                }
                frames.add(Arrays.copyOf(buffer, read));
            }
        }

        /** The letters of the messages up to ReadyForQuery, or an error's code and detail. */
        String answer() throws IOException {
            StringBuilder letters = new StringBuilder();
            String error = null;
            for (Frame frame = next(); ; frame = next()) {
                if (frame == null) {
                    return (error == null ? letters : error) + " closed";
                }
                letters.append(frame.type());
                if (frame.type() == 'D') {
                    lastData = frame.body();
                } else if (HostMessage.decode(frame) instanceof HostMessage.ErrorResponse failed) {
                    String detail = failed.error().detail();
                    error = "E" + failed.error().sqlState() + (detail == null ? "" : " " + detail);
                } else if (frame.type() == 'Z') {
                    return error == null ? letters.toString() : error;
                }
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A host that does as it is told, request by request. */
    private final class StandInHost {
        private final ServerSocket server = new ServerSocket(0, 50, LOOPBACK);
        private final String role;
        private final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
        private final BlockingQueue<String> ends = new LinkedBlockingQueue<>();
        private final CountDownLatch released = new CountDownLatch(1);
        private volatile String[] acts = {"row"};
        private volatile int connections;
        private volatile int mayHaveRun;
        private int done;

        StandInHost(String role) throws IOException {
            this.role = role;
            opened.add(server);
            threads.submit(
                    () -> {
                        while (!server.isClosed()) {
                            Socket socket = server.accept();
                            // It writes in pieces: else each answer would wait 40 ms for an
                            // acknowledgement.
                            socket.setTcpNoDelay(true);
                            connections++;
                            threads.submit(() -> serve(socket));
                        }
                        return null;
                    });
        }

        JsonObject entry() {
            return new JsonObject()
                    .put("id", role)
                    .put("addr", "127.0.0.1:" + server.getLocalPort())
                    .put("zone", "north")
                    .put("kind", "plain")
                    .put("cell", 2)
                    .put("state", "Ready")
                    .put("weight", 1.0)
                    .put("started_ms", 0)
                    .put("role", role);
        }

        private synchronized String act(boolean next) {
            String act = acts[Math.min(done, acts.length - 1)];
            done += next ? 1 : 0;
            return act;
        }

        private Void serve(Socket socket) throws Exception {
            try (socket) {
                Wire wire = new Wire(socket);
                socket.getInputStream().readNBytes(Encoder.startup("client", "core").length);
                if (List.of("hang up", "no room", "babble").contains(act(false))) {
                    switch (act(true)) {
                        case "no room" ->
                                wire.send(
                                        Encoder.fatalError(
                                                new PgError("53300", "no connection left", null)));
                        case "babble" ->
                                wire.send("what is this?".getBytes(StandardCharsets.UTF_8));
                        default -> {}
                    }
                    return null;
                }
                if (!act(false).equals("mute")) {
                    wire.send(Encoder.startupResponse());
                }
                for (Frame frame = wire.next(); frame != null; frame = wire.next()) {
                    String sql =
                            new String(
                                    frame.body(),
                                    0,
                                    frame.body().length - 1,
                                    StandardCharsets.ISO_8859_1);
                    if (frame.type() != 'Q' || !answered(wire, sql)) {
                        return null;
                    }
                }
                ends.add("closed by the router");
            }
            return null;
        }

        /** Whether the connection stays open. */
        private boolean answered(Wire wire, String sql) throws Exception {
            if (sql.startsWith("SELECT 1")) {
                wire.send(Encoder.row(Row.ofText("one", "1")));
                return true;
            }
            String act = act(true);
            mayHaveRun += List.of("full", "miss").contains(act) ? 0 : 1;
            requests.add(sql);
            switch (act) {
                case "row" -> row(wire, Encoder.readyForQuery());
                case "row and close" -> row(wire);
                case "wait" -> {
                    released.await();
                    row(wire, Encoder.readyForQuery());
                }
                case "full" -> wire.send(Encoder.errorAndReady(new PgError("53300", "full", null)));
                case "miss" ->
                        wire.send(Encoder.errorAndReady(new PgError("25006", "no primary", null)));
                case "error" ->
                        wire.send(Encoder.errorAndReady(new PgError("XX000", "broken", null)));
                case "two rows" -> {
                    byte[] whole = Encoder.row(Row.ofText("val", "x"));
                    wire.send(Arrays.copyOf(whole, whole.length - 6 - 14));
                    wire.send(Encoder.row(Row.ofText("val", "y")));
                }
                case "tag first" ->
                        wire.send(HexFormat.of().parseHex("430000000d53454c454354203100"));
                case "huge" -> wire.send(HexFormat.of().parseHex("44b2d05e00"));
                case "half" -> wire.send(HexFormat.of().parseHex("5400000020"));
                case "odd load" ->
                        row(
                                wire,
                                HexFormat.of().parseHex("53000000086c6f6164"),
                                Encoder.readyForQuery());
                case "row and copy" -> {
                    row(wire, Encoder.readyForQuery());
                    row(wire, Encoder.readyForQuery());
                }
                case "row and late copy" -> {
                    row(wire, Encoder.readyForQuery());
                    Thread.sleep(1);
                    row(wire, Encoder.readyForQuery());
                }
                case "row and noise" ->
                        row(
                                wire,
                                Encoder.readyForQuery(),
                                "noise".getBytes(StandardCharsets.UTF_8));
                case "garbage" -> wire.send("what is this?".getBytes(StandardCharsets.UTF_8));
                case "reset" -> wire.socket.setSoLinger(true, 0);
                default -> {}
            }
            return !List.of("reset", "close", "row and close").contains(act);
        }

        private void row(Wire wire, byte[]... end) throws IOException {
            byte[] whole =
                    Encoder.row(new Row(Row.ofText("val", "").description(), data(), "SELECT 1"));
            int ready = whole.length - Encoder.readyForQuery().length;
            wire.send(
                    Arrays.copyOf(whole, ready),
                    parameter("role", role),
                    parameter("applied_ms", Long.toString(System.currentTimeMillis())));
            wire.send(end);
        }

        private byte[] data() {
            return ByteBuffer.allocate(6 + value.length)
                    .putShort((short) 1)
                    .putInt(value.length)
                    .put(value)
                    .array();
        }

        private byte[] parameter(String name, String value) {
            byte[] text = (name + "\0" + value + "\0").getBytes(StandardCharsets.UTF_8);
            return ByteBuffer.allocate(5 + text.length)
                    .put((byte) 'S')
                    .putInt(4 + text.length)
                    .put(text)
                    .array();
        }
    }
}
