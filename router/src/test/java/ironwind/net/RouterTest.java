package ironwind.net;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;
import ironwind.config.RouterConfig;
import ironwind.model.Group;
import ironwind.model.Inbound;
import ironwind.model.Span;
import ironwind.pg.Encoder;
import ironwind.pg.Statement;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs a router against clients, hosts and a discovery server. */
@Timeout(value = 10, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class RouterTest extends RouterFixture {
    /**
     * The actions of a host are separated by slashes: one for each request or failed startup in
     * turn, the last for all that follow.
     */
    @ParameterizedTest(name = "{0}, primary [{1}], replica [{2}]: {3}")
    @CsvSource({
        "read, row, row, TDCZ",
        "read, row, overloaded/row, TDCZ",
        "read, row, error/row, TDCZ",
        "read, row, reset/row, TDCZ",
        "read, row, close/row, TDCZ",
        "read, overloaded, row and close, TDCZ",
        "write, row and close, read-only, TDCZ",
        "read, row, close on startup, TDCZ",
        "read, row, no startup response, TDCZ",
        "read, overloaded, overloaded, E53300 250",
        "write, row, row, TDCZ",
        "write, overloaded/row, row, TDCZ",
        "write, refuse startup/row, row, TDCZ",
        "write, garbage on startup, row, E53300 200",
        "write, refuse startup, read-only, E53300 200",
        "write, read-only/row, row, TDCZ",
        "write, error/row, row, E40003",
        "write, reset/row, row, E40003",
        "write, close/row, row, E40003",
        "write, garbage/row, row, E40003",
        "read, row, garbage/row, TDCZ",
        "write, two rows/row, row, E40003",
        "read, row, two rows/row, TDCZ",
        "write, oversized/row, row, E40003",
        "write, truncated/row, row, E40003",
        "read, row, truncated/row, TDCZ",
        "read, row, tag without row/row, TDCZ",
        "read, row, malformed parameter, TDCZ",
        "write, no response, row, E40003",
        "write, overloaded, read-only, E53300 200",
        "write, close on startup, read-only, E53300 200",
        "write, no startup response, read-only, E53300 200"
    })
    void eachRpcGetsOneResponseAndNonIdempotentRpcsRunAtMostOnce(
            String method, String primaryActions, String replicaActions, String expected)
            throws Exception {
        primary.actions = primaryActions.split("/");
        replica.actions = replicaActions.split("/");
        PgConnection client = publishHostsAndConnect();
        client.send(
                request(method.equals("read") ? READ_TEMPLATE : WRITE_TEMPLATE, 800),
                Encoder.queryMessage(""));
        assertThat(client.readResponse()).isEqualTo(expected);
        assertThat(client.readResponse()).isEqualTo("IZ");
        assertThat(primary.possibleExecutions + replica.possibleExecutions)
                .isLessThanOrEqualTo(method.equals("read") ? 4 : 1);
        client.send(Encoder.queryMessage("SHOW stats"));
        assertThat(client.readResponse()).isEqualTo("TDCZ");
        assertThat(new String(client.lastDataRow, StandardCharsets.UTF_8))
                .contains("rpcs=1 ")
                .containsPattern(
                        Map.of(
                                        'T',
                                        "ok=1 pushed_back=0 aborted=0",
                                        '5',
                                        "ok=0 pushed_back=1 aborted=0",
                                        '4',
                                        "ok=0 pushed_back=0 aborted=1")
                                .get(expected.charAt(expected.startsWith("E") ? 1 : 0)));
        assertThat(logOutput.toString()).doesNotContain("ERROR");
    }

    @Test
    void valueAndStatementAreForwardedWithTheTimeLeft() throws Exception {
        PgConnection client = publishHostsAndConnect();
        client.send(request(READ_TEMPLATE, 700));
        assertThat(client.readResponse()).isEqualTo("TDCZ");
        assertThat(client.lastDataRow).endsWith(rowValue);
        Statement sent = Statement.parse(replica.requests.take());
        assertThat(sent.text()).isEqualTo("SELECT val FROM state WHERE uid = 'k'");
        assertThat(sent.attributes()).containsEntry("id", "r0").containsEntry("cluster", "2");
        assertThat(sent.requiredLong("d", 1, 1_000)).isBetween(1L, 700L);
    }

    @Test
    void hostConnectionsAreReusedAndResponsesComeInOrder() throws Exception {
        PgConnection client = publishHostsAndConnect();
        for (int i = 0; i < 3; i++) {
            assertReadSucceeds(client);
            Thread.sleep(5);
        }
        assertThat(replica.acceptedConnections).isEqualTo(1);
        client.send(
                request(READ_TEMPLATE, 900),
                Encoder.queryMessage("SHOW stats"),
                Encoder.queryMessage("nonsense"));
        assertThat(List.of(client.readResponse(), client.readResponse(), client.readResponse()))
                .containsExactly("TDCZ", "TDCZ", "E0A000");
        assertThat(new String(client.lastDataRow, StandardCharsets.UTF_8)).contains("rpcs=4");
    }

    /** Guards against malformed input of one client affecting other clients. */
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
    void malformedInputAffectsOnlyTheClientThatSentIt(String hex, String expected)
            throws Exception {
        PgConnection other = publishHostsAndConnect();
        PgConnection bad = openConnection();
        bad.send(Encoder.startupMessage("client", "core"));
        assertThat(bad.readResponse()).isEqualTo("RSSSSZ");
        bad.send(HexFormat.of().parseHex(hex));
        long startNanos = System.nanoTime();
        assertThat(bad.readResponse()).isEqualTo(expected);
        assertThat(System.nanoTime() - startNanos).isLessThan(TimeUnit.SECONDS.toNanos(3));
        other = expected.contains("57P05") || expected.equals(" closed") ? connectClient() : other;
        assertReadSucceeds(other);
    }

    /**
     * Guards against statement attributes that are used without validation, and against groups that
     * are created because a request names them.
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
    void invalidAttributesAreRejectedAndReachNoHost(String comment) throws Exception {
        replica.actions = new String[] {"row on release"};
        PgConnection other = publishHostsAndConnect();
        other.send(
                Encoder.queryMessage(
                        "/* id=open,c=read,d=2000,cluster=2 */ SELECT val FROM state WHERE uid = 'k'"));
        replica.requests.take();
        PgConnection bad = connectClient();
        bad.send(Encoder.queryMessage("/* " + comment + " */ SELECT 2"), Encoder.queryMessage(""));
        assertThat(bad.readResponse()).isEqualTo("E42601");
        assertThat(bad.readResponse()).isEqualTo("IZ");
        replica.release.countDown();
        assertThat(other.readResponse()).isEqualTo("TDCZ");
        assertThat(replica.requests).isEmpty();
    }

    /**
     * Guards against connections that send nothing and use up the descriptors: they are closed to
     * make room for new ones, while connections that have made requests are kept.
     */
    @Test
    void connectionsThatSendNothingAreClosedToMakeRoom() throws Exception {
        startRouter(routerWith(32 + 20, config.hostIdleTimeout()));
        PgConnection active = publishHostsAndConnect();
        assertReadSucceeds(active);
        List<PgConnection> silent = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            silent.add(openConnection());
        }
        PgConnection newcomer = connectClient();
        for (PgConnection client : List.of(newcomer, active)) {
            assertReadSucceeds(client);
        }
        for (PgConnection client : silent.subList(0, 48)) {
            assertThat(client.readResponse()).isEqualTo(" closed");
        }
        assertThat(silent.get(59).readResponse()).isEqualTo("E57P05 closed");
    }

    /**
     * Guards against surplus bytes that a host sends after a response being taken for the response
     * to the next request.
     */
    @ParameterizedTest
    @ValueSource(strings = {"row and duplicate", "row and late duplicate", "row and garbage"})
    void surplusBytesAreNotTheNextResponse(String action) throws Exception {
        replica.actions = new String[] {action, "row"};
        PgConnection client = publishHostsAndConnect();
        assertReadSucceeds(client);
        rowValue = "next row".getBytes(StandardCharsets.UTF_8);
        assertReadSucceeds(client);
        assertThat(client.lastDataRow).endsWith(rowValue);
        assertThat(replica.acceptedConnections).isEqualTo(2);
    }

    /**
     * Guards against a second copy of a response that the host writes after the router has sent the
     * next request, and before the host has read it.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 20})
    void duplicateThatCrossesTheNextRequestIsNotItsResponse(int pauseMs) throws Exception {
        replica.actions = new String[] {"row and duplicate before the next request is read", "row"};
        PgConnection client = publishHostsAndConnect();
        assertReadSucceeds(client);
        Thread.sleep(pauseMs);
        for (int i = 0; i < 3; i++) {
            rowValue = ("value " + i).getBytes(StandardCharsets.UTF_8);
            assertReadSucceeds(client);
            assertThat(client.lastDataRow).endsWith(rowValue);
        }
    }

    /** Guards against a non-idempotent RPC that is answered with another's value, or sent again. */
    @Test
    void writeThatCrossesADuplicateIsAbortedAndNotSentAgain() throws Exception {
        primary.actions = new String[] {"row and duplicate before the next request is read", "row"};
        PgConnection client = publishHostsAndConnect();
        client.send(request(WRITE_TEMPLATE, 900));
        assertThat(client.readResponse()).isEqualTo("TDCZ");
        Thread.sleep(5);
        client.send(request(WRITE_TEMPLATE, 900));
        assertThat(client.readResponse()).isEqualTo("E40003");
        assertThat(primary.possibleExecutions).isLessThanOrEqualTo(2);
    }

    /**
     * Guards against warm-up requests that reach hosts or count as requests of clients, and against
     * a client that gets a warm-up response because its request id has the same prefix.
     */
    @Test
    void warmUpRequestsReachNeitherHostsNorClients() throws Exception {
        startRouter(new Router(config, new Log(new PrintStream(logOutput, true))));
        PgConnection client = publishHostsAndConnect();
        client.send(
                Encoder.queryMessage("/* id=rehearsal-1,c=0,d=9,cluster=0 */ SELECT 1"),
                Encoder.queryMessage("SHOW stats"));
        assertThat(client.readResponse()).isEqualTo("E42601");
        assertThat(client.readResponse()).isEqualTo("TDCZ");
        assertThat(new String(client.lastDataRow, StandardCharsets.UTF_8))
                .contains("rpcs=0 ", "call_outs=0 ");
        assertThat(primary.acceptedConnections + replica.acceptedConnections).isZero();
        assertThat(logOutput.toString()).containsPattern("INFO rehearsed rpcs=[1-9]");
    }

    /**
     * Guards against a response from the previous discovery address that arrives after the reload
     * and replaces the host list of the new address.
     */
    @Test
    void reloadSwitchesDiscoveryAndIgnoresThePreviousAddress() throws Exception {
        PgConnection client = publishHostsAndConnect();
        assertReadSucceeds(client);
        ScriptedHost newReplica = newHost("replica");
        BlockingQueue<String> newResponses = new LinkedBlockingQueue<>();
        HttpServer newDiscovery = startDiscovery(newResponses);
        newResponses.add(
                hostListJson(
                        1,
                        primary.discoveryEntry(),
                        newReplica.discoveryEntry().put("id", "third")));
        router.reload(RouterConfig.read(configJson(newDiscovery))).await(10, TimeUnit.SECONDS);
        while (newReplica.requests.isEmpty()) {
            assertReadSucceeds(client);
        }
        discoveryResponses.add(hostListJson(9, primary.discoveryEntry(), replica.discoveryEntry()));
        replica.requests.clear();
        for (int i = 0; i < 5; i++) {
            assertReadSucceeds(client);
        }
        assertThat(replica.requests).isEmpty();
        newDiscovery.stop(0);
    }

    /**
     * Guards against a request that is sent while its host closes the idle connection: the router
     * could not tell whether it ran. The router therefore closes idle connections before the host
     * does.
     */
    @Test
    void idleHostConnectionsAreClosedByTheRouter() throws Exception {
        startRouter(routerWith(config.maxSockets(), Span.ofMillis(200)));
        PgConnection client = publishHostsAndConnect();
        assertReadSucceeds(client);
        assertThat(replica.connectionEnds.take()).isEqualTo("closed by the router");
        assertReadSucceeds(client);
        assertThat(replica.acceptedConnections).isEqualTo(2);
    }

    /**
     * Of the four descriptors above the reserve, two are for clients, one is for a client that is
     * being accepted, and one is for hosts.
     */
    @Test
    void idleConnectionsAreClosedWhenDescriptorsRunOut() throws Exception {
        startRouter(routerWith(32 + 4, config.hostIdleTimeout()));
        PgConnection first = publishHostsAndConnect();
        PgConnection second = connectClient();
        assertReadSucceeds(second);
        second.send(request(WRITE_TEMPLATE, 900));
        assertThat(second.readResponse()).isEqualTo("TDCZ");
        PgConnection third = connectClient();
        assertThat(first.readResponse()).isEqualTo(" closed");
        assertReadSucceeds(third);
        assertThat(replica.connectionEnds.take()).isEqualTo("closed by the router");
    }

    /**
     * Guards against a client that pipelines requests without limit: the router reads at most 16
     * ahead and continues as it responds.
     */
    @Test
    void pipelinedRequestsAreReadUpToALimit() throws Exception {
        replica.actions = new String[] {"row on release"};
        primary.actions = replica.actions;
        PgConnection client = publishHostsAndConnect();
        PgConnection other = connectClient();
        client.send(
                Collections.nCopies(20, 0).stream()
                        .map(i -> request(READ_TEMPLATE, 5_000))
                        .toArray(byte[][]::new));
        do {
            other.send(Encoder.queryMessage("SHOW stats"));
            other.readResponse();
        } while (!new String(other.lastDataRow, StandardCharsets.UTF_8).contains("rpcs=16 "));
        replica.release.countDown();
        primary.release.countDown();
        for (int i = 0; i < 20; i++) {
            assertThat(client.readResponse()).isIn("TDCZ", "E53300 250");
        }
    }

    @Test
    void requestsBeforeMalformedInputAreAnswered() throws Exception {
        replica.actions = new String[] {"row on release"};
        PgConnection client = publishHostsAndConnect();
        client.send(request(READ_TEMPLATE, 2_000), HexFormat.of().parseHex("3f00000004"));
        replica.requests.take();
        replica.release.countDown();
        assertThat(client.readResponse()).isEqualTo("TDCZ");
        assertThat(client.readResponse()).isEqualTo("E08P01 closed");
    }

    /**
     * Values of the largest size, 64 KiB, are hexadecimal in a statement and binary in a response.
     */
    @Test
    void largeValuesAreForwardedInBothDirections() throws Exception {
        rowValue = new byte[64 * 1024];
        new SplittableRandom(1).nextBytes(rowValue);
        String statement =
                "INSERT INTO state (uid, val) VALUES ('k', '\\x"
                        + HexFormat.of().formatHex(rowValue)
                        + "')";
        PgConnection client = publishHostsAndConnect();
        client.send(request("/* id=r%d,c=write,d=%d,cluster=2 */ " + statement, 2_000));
        assertThat(client.readResponse()).isEqualTo("TDCZ");
        assertThat(client.lastDataRow).endsWith(rowValue).hasSize(6 + rowValue.length);
        assertThat(primary.requests.take()).endsWith(statement);
    }

    @Test
    void disconnectingClientCancelsItsRpc() throws Exception {
        primary.actions = new String[] {"no response"};
        replica.actions = new String[] {"no response"};
        PgConnection client = publishHostsAndConnect();
        client.send(request(READ_TEMPLATE, 900));
        assertThat(replica.requests.take()).contains("id=r0");
        client.close();
        assertThat(replica.connectionEnds.take()).isEqualTo("closed by the router");
    }

    @Test
    void drainCompletesOpenRpcsAndClosesIdleClients() throws Exception {
        replica.actions = new String[] {"row on release"};
        PgConnection busy = publishHostsAndConnect();
        PgConnection idle = connectClient();
        busy.send(request(READ_TEMPLATE, 2_000));
        replica.requests.take();
        Future<Void> drained = router.drain();
        assertThat(idle.readResponse()).isEqualTo(" closed");
        assertThat(drained.isComplete()).isFalse();
        replica.release.countDown();
        assertThat(busy.readResponse()).isEqualTo("TDCZ");
        assertThat(busy.readResponse()).isEqualTo(" closed");
        drained.await(10, TimeUnit.SECONDS);
    }

    /**
     * Guards against an RPC that arrives before the drain begins and whose deadline is after the
     * end of the process: it was lost when the process ended, whether its call-out was in flight or
     * it was held without one.
     */
    @ParameterizedTest(name = "primary [{0}]: {1}")
    @CsvSource({"no response, E40003", "read-only, E53300 200"})
    void drainAnswersRpcsWithDeadlinesAfterTheEndOfTheProcess(String action, String expected)
            throws Exception {
        primary.actions = new String[] {action};
        replica.actions = new String[] {"read-only"};
        PgConnection client = publishHostsAndConnect();
        client.send(request(WRITE_TEMPLATE, 7_900));
        primary.requests.take();
        Future<Void> stopped = router.drain().compose(ignored -> router.stop());
        assertThat(client.readResponse()).startsWith(expected);
        stopped.await(10, TimeUnit.SECONDS);
        router = null;
    }

    /**
     * With 1,024 hosts, 1,024 routers and far fewer descriptors than hosts, the chunked host list
     * is read completely, every group is served, and host connections are closed to open others.
     */
    @Test
    void largeHostListIsServedWithFewDescriptors() throws Exception {
        JsonObject settings = SETTINGS.copy().put("peers_total", 1_024);
        config =
                RouterConfig.read(
                        configJson(discovery)
                                .put("settings", settings)
                                .put("limits", new JsonObject().put("sockets", 96)));
        JsonObject[] entries =
                IntStream.range(0, 1_024)
                        .mapToObj(
                                i ->
                                        (i % 4 == 0 ? primary : replica)
                                                .discoveryEntry()
                                                .put("id", "h" + i)
                                                .put("cell", i / 4))
                        .toArray(JsonObject[]::new);
        discoveryResponses.add(hostListJson(2, entries));
        startRouter(new Router(config, new Log(new PrintStream(logOutput, true))).withoutWarmup());
        PgConnection client = connectClient();
        for (int group = 0; group < 256; group++) {
            for (String template : List.of(READ_TEMPLATE, WRITE_TEMPLATE)) {
                client.send(
                        Encoder.queryMessage(
                                template.formatted(nextRequestId++, 1_900)
                                        .replace("cluster=2", "cluster=" + group)));
                assertThat(client.readResponse())
                        .as("%s of group %d", template, group)
                        .isEqualTo("TDCZ");
            }
        }
        assertThat(logOutput.toString())
                .doesNotContain("no_socket", "no_descriptor", "discovery_failed");
        assertThat(router.counters().read().get("host_connections")).isGreaterThan(500);
    }

    /** Guards against a watch that is never renewed because it fell silent within its answer. */
    @Test
    @Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void watchThatFallsSilentInItsAnswerIsRenewed() throws Exception {
        PgConnection client = publishHostsAndConnect();
        assertReadSucceeds(client);
        discoveryResponses.add(STALL + hostListJson());
        JsonObject draining = replica.discoveryEntry().put("state", "Terminating");
        discoveryResponses.add(hostListJson(3, primary.discoveryEntry(), draining));
        while (router.counters().read().get("lists") < 3) {
            Thread.sleep(20);
        }
        assertReadSucceeds(client);
        int sentToReplica = replica.requests.size();
        assertReadSucceeds(client);
        assertThat(replica.requests).hasSize(sentToReplica);
    }

    private void awaitReadServed(PgConnection client) throws IOException {
        String response = "";
        while (!response.equals("TDCZ")) {
            client.send(request(READ_TEMPLATE, 900));
            response = client.readResponse();
        }
    }

    /** Guards against an answer of discovery that never ends and fills the memory. */
    @Test
    void discoveryIsRetriedAfterAnAnswerThatIsTooLarge() throws Exception {
        discoveryResponses.add("{\"version\":7,\"servers\":[" + "[],".repeat(1_000_000) + "[]]}");
        awaitReadServed(publishHostsAndConnect());
        assertThat(logOutput.toString())
                .contains("the list is larger than")
                .contains("discovery_back");
    }

    /** Guards against a failed discovery request after which the router makes no other. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "nonsense",
                "{}",
                "{\"version\":7,\"servers\":[{\"id\":\"x\"}]}",
                CLOSE,
                NO_RESPONSE,
                STALL + "{\"version\":7,\"servers\":[]}"
            })
    void discoveryIsRetriedAfterAFailure(String response) throws Exception {
        discoveryResponses.add(response);
        awaitReadServed(publishHostsAndConnect());
        assertThat(logOutput.toString())
                .containsOnlyOnce("discovery_failed")
                .containsOnlyOnce("discovery_back");
    }

    /**
     * Guards against an RPC that stays unanswered because of a defect in the decision logic: it is
     * aborted, and the fault is logged once with its location.
     */
    @ParameterizedTest(name = "logic that {0}")
    @CsvSource({"throws, UnsupportedOperationException", "never responds, IllegalStateException"})
    void logicDefectAbortsTheRpcAndIsLogged(String defect, String expectedLog) throws Exception {
        InvocationHandler logic =
                (proxy, method, arguments) -> {
                    if (method.getName().equals("onRpcArrived") && defect.equals("throws")) {
                        throw new UnsupportedOperationException();
                    }
                    return method.getName().equals("group") ? new Group(2) : null;
                };
        startRouter(
                new Router(
                        config,
                        new Log(new PrintStream(logOutput, true)),
                        outbound ->
                                (Inbound)
                                        Proxy.newProxyInstance(
                                                getClass().getClassLoader(),
                                                new Class<?>[] {Inbound.class},
                                                logic)));
        PgConnection client = publishHostsAndConnect();
        client.send(request(READ_TEMPLATE, 100), Encoder.queryMessage(""));
        assertThat(client.readResponse()).isEqualTo("E40003");
        assertThat(client.readResponse()).isEqualTo("IZ");
        assertThat(logOutput.toString())
                .containsOnlyOnce("ERROR fault")
                .contains(expectedLog, "at=ironwind");
    }

    /**
     * Guards against an exception while a client's input is handled, which would leave out all
     * other sockets and stop the event loop for a second.
     */
    @Test
    void faultInTheInputOfOneClientEndsOnlyItsConnection() throws Exception {
        AtomicBoolean faulty = new AtomicBoolean(true);
        startRouter(
                routerWith(
                        (method, logic) -> {
                            if (method.equals("group") && faulty.getAndSet(false)) {
                                throw new IllegalStateException("defect");
                            }
                            return logic.call();
                        }));
        PgConnection client = publishHostsAndConnect();
        PgConnection other = connectClient();
        client.send(request(READ_TEMPLATE, 900));
        assertThat(client.readResponse()).endsWith("closed");
        assertReadSucceeds(other);
        assertThat(logOutput.toString()).containsOnlyOnce("ERROR fault").contains("defect");
    }

    /**
     * Guards against mistaking the time that a request waited for a blocked event loop for queueing
     * under overload, although no other request is waiting.
     */
    @Test
    void requestsAreServedInTheTimeLeftAfterTheEventLoopWasBlocked() throws Exception {
        CountDownLatch loopBlocked = new CountDownLatch(1);
        startRouter(
                routerWith(
                        (method, logic) -> {
                            if (method.equals("onRpcArrived") && loopBlocked.getCount() > 0) {
                                loopBlocked.countDown();
                                Thread.sleep(600);
                            }
                            return logic.call();
                        }));
        PgConnection first = publishHostsAndConnect();
        PgConnection second = connectClient();
        first.send(request(READ_TEMPLATE, 1_900));
        loopBlocked.await();
        second.send(request(READ_TEMPLATE, 1_900));
        assertThat(first.readResponse()).isEqualTo("TDCZ");
        assertThat(second.readResponse()).isEqualTo("TDCZ");
        assertThat(logOutput.toString()).contains("loop_stood");
    }
}
