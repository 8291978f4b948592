package ironwind;

import static org.assertj.core.api.Assertions.assertThat;

import ironwind.model.CallOut;
import ironwind.model.ConcurrencyLimit;
import ironwind.model.Deployment.StaleReadPolicy;
import ironwind.model.Host;
import ironwind.model.Idempotency;
import ironwind.model.Moment;
import ironwind.model.Outcome;
import ironwind.model.Role;
import ironwind.model.Rpc;
import ironwind.model.Rpc.State;
import ironwind.model.Span;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class LogicTest {
    private static LogicFixture fixture(StaleReadPolicy staleReadPolicy) {
        return new LogicFixture(
                        staleReadPolicy,
                        staleReadPolicy == StaleReadPolicy.SERVE,
                        Idempotency.NON_IDEMPOTENT,
                        2)
                .discover(true, "a:primary", "b", "c");
    }

    /** Returns a fixture in which b and c have reported positions of these ages. */
    private static LogicFixture fixtureWithPositions(long ageOfBMs, long ageOfCMs) {
        LogicFixture fixture = fixture(StaleReadPolicy.SERVE);
        Rpc first = fixture.arrive(LogicFixture.ANY);
        Rpc second = fixture.arrive(LogicFixture.ANY);
        for (Rpc rpc : List.of(first, second)) {
            fixture.endCallOut(
                    rpc,
                    Outcome.OK,
                    Role.REPLICA,
                    LogicFixture.hostPath(rpc).equals("b") ? ageOfBMs : ageOfCMs);
        }
        return fixture;
    }

    @ParameterizedTest(name = "method {0}, token {1} ms old, b {2} ms and c {3} ms behind: {4}")
    @CsvSource({
        "2, 200, 100, 250, b",
        "2, 200, 250, 100, c",
        "2, 100, 200, 200, a",
        "2, 0, 900, 900, b|c",
        "3, 0, 100, 400, b",
        "3, 0, 400, 290, c",
        "3, 0, 400, 400, a",
        "1, 0, 0, 0, a",
        "0, 0, 0, 0, a"
    })
    void readsGoToReplicasPastThePositionOrToThePrimaryAfterADelay(
            int method, long tokenAgeMs, long ageOfBMs, long ageOfCMs, String expected) {
        LogicFixture fixture = fixtureWithPositions(ageOfBMs, ageOfCMs);
        Rpc rpc = fixture.arrive(method, tokenAgeMs);
        fixture.advance(40);
        assertThat(expected.split("\\|")).contains(LogicFixture.hostPath(rpc));
    }

    @Test
    void replicaWithFewestCallOutsInFlightIsChosen() {
        LogicFixture fixture = fixtureWithPositions(10, 10);
        Rpc first = fixture.arrive(LogicFixture.BOUNDED);
        Rpc second = fixture.arrive(LogicFixture.BOUNDED);
        assertThat(List.of(LogicFixture.hostPath(first), LogicFixture.hostPath(second)))
                .containsExactlyInAnyOrder("b", "c");
    }

    /** Guards against reporting an RPC as harmless to retry that has had an effect. */
    @ParameterizedTest(name = "method {0}: {1}")
    @CsvSource({"4, push back r0", "2, push back r0", "0, abort r0"})
    void rpcWhoseAnswerCannotBeHeldIsGivenUpAtOnceAndNeverSentAgain(int method, String expected) {
        LogicFixture fixture = fixture(StaleReadPolicy.SERVE);
        Rpc rpc = fixture.arrive(method);
        fixture.endCallOut(rpc, Outcome.UNDELIVERABLE, Role.UNKNOWN, 10).advance(600);
        assertThat(fixture.actions).hasSize(2).endsWith(expected);
        assertThat(rpc.callOuts.get(0).host.suspect).isFalse();
    }

    /**
     * Guards against sending an RPC for which there is no memory or time left, or leaving it
     * without an answer.
     */
    @Test
    void rpcRejectedOnArrivalIsPushedBackAndNeverSent() {
        LogicFixture fixture =
                new LogicFixture(StaleReadPolicy.SERVE, false, Idempotency.NON_IDEMPOTENT, 1)
                        .discover(true, "a:primary", "b");
        Rpc rpc =
                new Rpc(
                        "x",
                        fixture.arrive(LogicFixture.ANY).method,
                        null,
                        fixture.logic.group(1),
                        "s",
                        fixture.now(),
                        fixture.now().plus(Span.ofMillis(900)),
                        Moment.NEVER,
                        false);
        rpc.rejectOnArrival = true;
        fixture.actions.clear();
        fixture.logic.onRpcArrived(fixture.now(), rpc);
        fixture.logic.onBatchEnd(fixture.now());
        assertThat(fixture.actions).containsExactly("push back x");
        assertThat(rpc.callOuts).isEmpty();
    }

    @Test
    void replicasThatRejectAreTriedBeforeThePrimaryAndSkippedAfterwards() {
        LogicFixture fixture = fixture(StaleReadPolicy.REJECT);
        Rpc first = fixture.arrive(LogicFixture.SESSION, 100);
        String replica = LogicFixture.hostPath(first);
        assertThat(replica).isIn("b", "c");
        fixture.endCallOut(first, Outcome.INELIGIBLE, Role.REPLICA, -1);
        String other = replica.equals("b") ? "c" : "b";
        fixture.endCallOut(first, Outcome.INELIGIBLE, Role.REPLICA, -1).advance(20);
        assertThat(LogicFixture.hostPath(first)).isEqualTo(replica + "," + other + ",a");
        Rpc second = fixture.arrive(LogicFixture.SESSION, 50);
        fixture.advance(30);
        assertThat(LogicFixture.hostPath(second)).isEqualTo("a");
    }

    @ParameterizedTest(name = "{0} after {1}: retried {2}, then {3}")
    @CsvSource({
        "NON_IDEMPOTENT, ERROR, false, abort",
        "NON_IDEMPOTENT, CONNECTION_LOST, false, abort",
        "NON_IDEMPOTENT, TIMED_OUT, false, abort",
        "NON_IDEMPOTENT, CANCELLED, false, abort",
        "NON_IDEMPOTENT, OVERLOADED, true, push back",
        "NON_IDEMPOTENT, NOT_SENT, true, push back",
        "TOKENED, CONNECTION_LOST, true, abort",
        "TOKENED, OVERLOADED, true, push back",
        "IDEMPOTENT, ERROR, true, push back"
    })
    void retriesAndPushesBackOnlyWhatMayRunAgain(
            Idempotency idempotency, Outcome outcome, boolean retried, String finalAction) {
        LogicFixture fixture =
                new LogicFixture(StaleReadPolicy.SERVE, false, idempotency, 2)
                        .discover(true, "a:primary", "b", "c");
        Rpc rpc = fixture.arrive(LogicFixture.WRITE);
        fixture.endCallOut(rpc, outcome, Role.UNKNOWN, -1).advance(50);
        assertThat(rpc.callOuts.size() > 1).isEqualTo(retried);
        while (rpc.state == State.IN_FLIGHT) {
            fixture.discover(true, "a:draining", "b:draining", "c:draining")
                    .endCallOut(rpc, outcome, Role.UNKNOWN, -1);
        }
        fixture.advance(2_000);
        assertThat(
                        fixture.actions.stream()
                                .filter(
                                        action ->
                                                action.startsWith("abort")
                                                        || action.startsWith("push back")))
                .containsExactly(finalAction + " " + rpc.id);
    }

    @Test
    void tokenedRpcThatMayHaveRunIsNotRetriedAfterItsTokenWindow() {
        LogicFixture fixture =
                new LogicFixture(StaleReadPolicy.SERVE, false, Idempotency.TOKENED, 2)
                        .discover(true, "a:primary", "b");
        Rpc rpc = fixture.arrive(LogicFixture.WRITE);
        fixture.advance(1_000)
                .endCallOut(rpc, Outcome.CONNECTION_LOST, Role.UNKNOWN, -1)
                .advance(900);
        assertThat(rpc.callOuts).hasSize(1);
        assertThat(fixture.actions).endsWith("abort " + rpc.id);
    }

    @ParameterizedTest
    @CsvSource({"b:draining", "b:gone"})
    void drainingAndGoneHostsGetNoNewCallOuts(String entry) {
        LogicFixture fixture = fixture(StaleReadPolicy.SERVE).discover(false, entry);
        for (int i = 0; i < 8; i++) {
            fixture.arrive(LogicFixture.ANY);
        }
        assertThat(fixture.actions)
                .anyMatch(action -> action.endsWith(" c"))
                .noneMatch(action -> action.endsWith(" b"));
    }

    @Test
    void hostMissingFromACompleteUpdateIsGone() {
        LogicFixture fixture = fixture(StaleReadPolicy.SERVE).discover(true, "a:primary", "c");
        fixture.arrive(LogicFixture.ANY);
        fixture.arrive(LogicFixture.ANY);
        assertThat(fixture.actions).noneMatch(action -> action.endsWith(" b"));
    }

    @ParameterizedTest(name = "{0} routers: at most {1} sends to a cold host in any second")
    @CsvSource({"2, 3", "10, 1", "30, 1"})
    void sendsToAColdHostStayWithinTheRoutersShareInEveryWindow(int routerCount, int maxSends) {
        LogicFixture fixture =
                new LogicFixture(StaleReadPolicy.SERVE, true, Idempotency.TOKENED, routerCount)
                        .discover(true, "a:cold");
        List<Long> sendTimesMs = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            Rpc rpc = fixture.arrive(LogicFixture.ANY);
            fixture.advance(5);
            if (rpc.state == State.IN_FLIGHT) {
                sendTimesMs.add(i * 5L);
                fixture.endCallOut(rpc, Outcome.OK, Role.REPLICA, 0);
            }
        }
        for (long windowStart : sendTimesMs) {
            assertThat(
                            sendTimesMs.stream()
                                    .filter(at -> at >= windowStart && at < windowStart + 1_000)
                                    .count())
                    .isLessThanOrEqualTo(maxSends);
        }
        assertThat(sendTimesMs.size()).isLessThanOrEqualTo(2 * maxSends);
    }

    /** A host that hangs or is unreachable is detected only by unanswered call-outs. */
    @ParameterizedTest
    @CsvSource({"SERVE, 2", "REJECT, 1"})
    void silentHostIsAvoidedAndItsIdempotentRpcsAreRetried(
            StaleReadPolicy staleReadPolicy, int callOuts) {
        LogicFixture fixture = fixture(staleReadPolicy);
        Rpc stuck = fixture.arrive(LogicFixture.ANY);
        String silent = LogicFixture.hostPath(stuck);
        fixture.serveOthers(1_300);
        assertThat(fixture.host(silent).suspect).isTrue();
        assertThat(stuck.callOuts.size()).isEqualTo(callOuts);
        if (staleReadPolicy == StaleReadPolicy.REJECT) {
            assertThat(fixture.actions).contains("cancel " + stuck.id);
        }
        for (int i = 0; i < 5; i++) {
            fixture.endCallOut(fixture.arrive(LogicFixture.ANY), Outcome.OK, Role.REPLICA, 0);
        }
        assertThat(
                        fixture.actions.stream()
                                .filter(
                                        action ->
                                                action.endsWith(" " + silent)
                                                        && action.startsWith("send")))
                .hasSize(1);
    }

    @Test
    void writesWaitWhileThePrimaryIsSilentUntilAnotherIsReported() {
        LogicFixture fixture = fixture(StaleReadPolicy.SERVE);
        Rpc lost = fixture.arrive(LogicFixture.WRITE);
        fixture.serveOthers(1_300);
        Rpc waiting = fixture.arrive(LogicFixture.WRITE);
        fixture.advance(300);
        assertThat(waiting.state).isEqualTo(State.PENDING);
        fixture.endCallOut(fixture.arrive(LogicFixture.ANY), Outcome.OK, Role.PRIMARY, 0)
                .advance(20);
        assertThat(waiting.callOuts).hasSize(1);
        assertThat(LogicFixture.hostPath(waiting)).isNotEqualTo(LogicFixture.hostPath(lost));
    }

    /** A hung host with a full queue still rejects RPCs, which is no sign of health. */
    @ParameterizedTest
    @CsvSource({"OVERLOADED, true", "OK, false"})
    void onlyUsefulAnswersClearSuspicion(Outcome outcome, boolean suspect) {
        LogicFixture fixture = fixture(StaleReadPolicy.SERVE);
        Rpc stuck = fixture.arrive(LogicFixture.ANY);
        String silent = LogicFixture.hostPath(stuck);
        fixture.serveOthers(1_300);
        fixture.logic.onCallOutEnded(
                fixture.now(),
                stuck.callOuts.get(0),
                outcome,
                false,
                Role.REPLICA,
                fixture.now(),
                fixture.now(),
                fixture.now().since(stuck.callOuts.get(0).sentAt));
        assertThat(fixture.host(silent).suspect).isEqualTo(suspect);
    }

    /** Guards against choosing a host as idle because it rejects RPCs or fails fast. */
    @ParameterizedTest
    @CsvSource({"OVERLOADED", "ERROR"})
    void hostThatRejectsOrFailsRpcsIsEjected(Outcome outcome) {
        LogicFixture fixture = fixture(StaleReadPolicy.SERVE);
        int sentToB = 0;
        for (int i = 0; i < 100; i++) {
            Rpc rpc = fixture.arrive(LogicFixture.ANY);
            boolean atB = LogicFixture.hostPath(rpc).equals("b");
            sentToB += atB ? 1 : 0;
            fixture.advance(10).endCallOut(rpc, atB ? outcome : Outcome.OK, Role.REPLICA, 0);
        }
        assertThat(sentToB).isBetween(1, 10);
    }

    @ParameterizedTest(name = "update lists b as primary after b answered as {0}: primary {1}")
    @CsvSource({"REPLICA, ", "PRIMARY, b"})
    void delayedDiscoveryUpdateDoesNotOverrideANewerAnswer(Role role, String primary) {
        LogicFixture fixture = fixture(StaleReadPolicy.REJECT).discover(false, "c:gone");
        fixture.endCallOut(fixture.arrive(LogicFixture.ANY), Outcome.OK, role, 0);
        fixture.endCallOut(
                fixture.arrive(LogicFixture.WRITE),
                Outcome.INELIGIBLE,
                role == Role.PRIMARY ? Role.PRIMARY : Role.REPLICA,
                0);
        fixture.discover(false, "b:primary");
        assertThat(fixture.logic.group(1).primary)
                .isEqualTo(primary == null ? null : fixture.host(primary));
    }

    @Test
    void writeWithoutKnownPrimaryTriesMembersByIdThenWaits() {
        LogicFixture fixture =
                new LogicFixture(StaleReadPolicy.REJECT, false, Idempotency.NON_IDEMPOTENT, 2)
                        .discover(true, "c", "a", "b");
        Rpc rpc = fixture.arrive(LogicFixture.WRITE);
        for (int i = 0; i < 3; i++) {
            fixture.endCallOut(rpc, Outcome.INELIGIBLE, Role.REPLICA, -1);
        }
        assertThat(LogicFixture.hostPath(rpc)).isEqualTo("a,b,c");
        assertThat(rpc.state).isEqualTo(State.PENDING);
        fixture.endCallOut(fixture.arrive(LogicFixture.ANY), Outcome.OK, Role.PRIMARY, 0);
        assertThat(rpc.callOuts).hasSize(4);
    }

    @Test
    void slowHostsGetFewerCallOutsAndOtherRpcsArePushedBack() {
        LogicFixture fixture = fixture(StaleReadPolicy.SERVE);
        List<Rpc> rpcs = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            rpcs.add(fixture.arrive(LogicFixture.ANY));
            fixture.advance(10);
            for (Rpc rpc : rpcs) {
                if (rpc.inFlight == 1
                        && fixture.now().since(rpc.callOuts.get(0).sentAt).us() > 450_000) {
                    fixture.endCallOut(rpc, Outcome.OK, Role.REPLICA, 0);
                }
            }
        }
        // Fewer than arrive within a response time, but at least 4: the pool's limit does not fall
        // below 5 per host of all routers together, which is 5 for two replicas and two routers.
        assertThat(rpcs.stream().filter(rpc -> rpc.inFlight > 0).count()).isBetween(4L, 12L);
        assertThat(fixture.actions).anyMatch(action -> action.startsWith("push back"));
    }

    @Test
    void everyPendingRpcIsAnsweredOnceBeforeItsDeadline() {
        LogicFixture fixture =
                new LogicFixture(StaleReadPolicy.SERVE, true, Idempotency.NON_IDEMPOTENT, 2)
                        .discover(true, "a:gone");
        List<Rpc> rpcs = new ArrayList<>();
        for (int method = LogicFixture.WRITE; method <= LogicFixture.ANY; method++) {
            rpcs.add(fixture.arrive(method));
        }
        fixture.advance(1_999);
        assertThat(fixture.actions.stream().filter(action -> action.startsWith("push back")))
                .hasSize(rpcs.size());
        assertThat(rpcs).allMatch(rpc -> rpc.state == State.DONE);
    }

    @Test
    void callOutsAtASilentHostDoNotCountAgainstThePool() {
        LogicFixture fixture = fixture(StaleReadPolicy.SERVE);
        Rpc stuck = fixture.arrive(LogicFixture.WRITE);
        ConcurrencyLimit pool = stuck.callOuts.get(0).pool;
        assertThat(pool.inFlight).isEqualTo(1);
        fixture.serveOthers(1_300);
        assertThat(pool.inFlight).isZero();
        fixture.endCallOut(stuck, Outcome.TIMED_OUT, Role.UNKNOWN, -1);
        assertThat(pool.inFlight).isZero();
    }

    /**
     * Guards against a primary that stays suspect, and gets no writes, because no read needs it.
     */
    @Test
    void suspectPrimaryGetsATrialReadAlthoughReplicasAreEligible() {
        LogicFixture fixture = fixture(StaleReadPolicy.SERVE).discover(true, "a:primary", "b");
        Rpc write = fixture.arrive(LogicFixture.WRITE);
        fixture.advance(100).endCallOut(write, Outcome.CONNECT_FAILED, Role.UNKNOWN, -1);
        assertThat(fixture.host("a").suspect).isTrue();
        fixture.logic.onProbeEnded(
                fixture.now(), fixture.host("a"), true, Role.UNKNOWN, Moment.NEVER);
        fixture.advance(500);
        assertThat(LogicFixture.hostPath(fixture.arrive(LogicFixture.ANY))).isEqualTo("a");
    }

    /** Guards against unbounded growth when discovery keeps naming new hosts. */
    @Test
    void goneHostIsRemoved() {
        LogicFixture fixture = fixture(StaleReadPolicy.SERVE).discover(true, "a:primary");
        assertThat(fixture.host("b")).isNull();
        assertThat(fixture.logic.group(1).members).containsExactly(fixture.host("a"));
    }

    @Test
    void newestPendingRpcOfEqualUtilityIsSentFirst() {
        LogicFixture fixture =
                fixture(StaleReadPolicy.SERVE).discover(true, "a:gone", "b:draining");
        Rpc older = fixture.arrive(LogicFixture.ANY);
        Rpc newer = fixture.advance(50).arrive(LogicFixture.ANY);
        fixture.host("b").concurrency.limit = 1;
        fixture.discover(true, "a:gone", "b").advance(20);
        assertThat(List.of(older.inFlight, newer.inFlight)).isEqualTo(List.of(0, 1));
    }

    /**
     * Guards against giving up every RPC of a method that only slow hosts serve: its response time
     * would never be measured again.
     */
    @Test
    void methodWithSlowAnswersIsStillSent() {
        LogicFixture fixture = fixtureWithPositions(900, 900);
        for (int i = 0; i < 30; i++) {
            Rpc slow = fixture.arrive(LogicFixture.BOUNDED);
            fixture.advance(520);
            if (slow.inFlight > 0) {
                fixture.endCallOut(slow, Outcome.OK, Role.PRIMARY, 0);
            }
        }
        Rpc next = fixture.advance(60_000).arrive(LogicFixture.BOUNDED);
        fixture.advance(40);
        assertThat(LogicFixture.hostPath(next)).isEqualTo("a");
    }

    /**
     * Discovery may list running hosts as gone. Where only draining stops sends, writes and probes
     * must continue too.
     */
    @ParameterizedTest
    @CsvSource({"false, ", "true, a"})
    void goneHostIsStillUsedWhereOnlyDrainingStopsSends(
            boolean onlyDrainingStopsSends, String expected) {
        LogicFixture fixture =
                new LogicFixture(
                                StaleReadPolicy.SERVE,
                                true,
                                Idempotency.TOKENED,
                                2,
                                onlyDrainingStopsSends)
                        .discover(true, "a:primary", "b")
                        .discover(true);
        Rpc write = fixture.arrive(LogicFixture.WRITE);
        fixture.advance(30);
        assertThat(LogicFixture.hostPath(write)).isEqualTo(expected == null ? "" : expected);
        fixture.discover(false, "a:draining", "b:draining").discover(true);
        assertThat(LogicFixture.hostPath(fixture.arrive(LogicFixture.ANY))).isEmpty();
    }

    /**
     * Guards against hundreds of routers that each probe a silent host every 250 ms, which costs
     * more than it gains.
     */
    @Test
    void healthProbesStayWithinTheirBudgetWhileAHostIsSilent() {
        LogicFixture fixture = fixture(StaleReadPolicy.REJECT);
        fixture.arrive(LogicFixture.WRITE);
        fixture.serveOthers(1_300);
        for (int i = 0; i < 80; i++) {
            fixture.logic.onProbeEnded(
                    fixture.now(), fixture.host("a"), false, Role.UNKNOWN, Moment.NEVER);
            fixture.advance(250).arrive(LogicFixture.STRONG);
        }
        assertThat(fixture.host("a").suspect).isTrue();
        long probeCount =
                fixture.actions.stream().filter(action -> action.equals("probe a")).count();
        // The burst plus half a probe for each of about 100 RPCs.
        assertThat(probeCount).isBetween(10L, 10 + 100 / 2L);
    }

    /** Bad RPCs fail on any host; the hosts that report the errors are healthy. */
    @Test
    void rpcFailingOnTwoHostsIsGivenUpAndNeitherHostIsEjected() {
        LogicFixture fixture = fixture(StaleReadPolicy.SERVE);
        for (int i = 0; i < 30; i++) {
            Rpc failing = fixture.arrive(LogicFixture.ANY);
            fixture.endCallOut(failing, Outcome.ERROR, Role.REPLICA, 0)
                    .endCallOut(failing, Outcome.ERROR, Role.REPLICA, 0);
            assertThat(LogicFixture.hostPath(failing)).isIn("b,c", "c,b");
            assertThat(failing.state).isEqualTo(State.DONE);
            fixture.serve(4, LogicFixture.ANY, 20);
        }
        assertThat(List.of(fixture.host("b"), fixture.host("c")))
                .allMatch(host -> !fixture.now().before(host.ejectedUntil));
    }

    /** The last case is a host that was down and is back; its connections were never scarce. */
    @ParameterizedTest(name = "refused after {0} ms, probes answered {1}: connections closed {2}")
    @CsvSource({"1, true, true", "1, false, false", "250, true, false", "1, false true, false"})
    void idleConnectionsAreClosedWhenARunningHostRefusesOne(
            long refusedAfterMs, String probeResults, boolean closed) {
        LogicFixture fixture = fixture(StaleReadPolicy.SERVE);
        Rpc refused = fixture.arrive(LogicFixture.ANY);
        Host host = refused.callOuts.get(0).host;
        fixture.advance(refusedAfterMs)
                .endCallOut(refused, Outcome.CONNECT_FAILED, Role.UNKNOWN, -1);
        for (String answered : probeResults.split(" ")) {
            fixture.logic.onProbeEnded(
                    fixture.now(),
                    host,
                    Boolean.parseBoolean(answered),
                    Role.UNKNOWN,
                    Moment.NEVER);
        }
        assertThat(host.suspect).isEqualTo(!closed);
        fixture.serve(3, LogicFixture.ANY, 20);
        assertThat(fixture.actions.stream().anyMatch(action -> action.startsWith("close")))
                .isEqualTo(closed);
    }

    /**
     * Guards against many routers that together exceed the hosts' capacity with one call-out each.
     */
    @ParameterizedTest(name = "{0} routers: {1} to {2} of 40 RPCs sent")
    @CsvSource({"2, 30, 40", "200, 1, 12"})
    void poolLimitBelowOneIsKeptByPausing(int routerCount, int minSent, int maxSent) {
        LogicFixture fixture =
                new LogicFixture(
                                StaleReadPolicy.REJECT,
                                false,
                                Idempotency.NON_IDEMPOTENT,
                                routerCount)
                        .discover(true, "a:primary", "b", "c");
        int sent = 0;
        for (int i = 0; i < 40; i++) {
            Rpc rpc = fixture.arrive(LogicFixture.WRITE);
            fixture.advance(400);
            sent += rpc.callOuts.size();
            if (rpc.inFlight > 0) {
                fixture.endCallOut(rpc, Outcome.OK, Role.PRIMARY, 0);
            }
            fixture.advance(100);
        }
        assertThat(sent).isBetween(minSent, maxSent);
    }

    /** Guards against reads that replicas can't serve and that crowd out the primary's writes. */
    @ParameterizedTest(name = "writes answered after {0} ms: read at the primary {1}")
    @CsvSource({"50, true", "1200, false"})
    void readsDoNotUseAnOverloadedPrimary(long responseTimeMs, boolean sent) {
        LogicFixture fixture =
                new LogicFixture(StaleReadPolicy.SERVE, false, Idempotency.NON_IDEMPOTENT, 100)
                        .discover(true, "a:primary", "b");
        fixture.serve(12, LogicFixture.WRITE, responseTimeMs).advance(15_000);
        Rpc read = fixture.arrive(LogicFixture.SESSION, 1);
        fixture.advance(100);
        assertThat(LogicFixture.hostPath(read)).isEqualTo(sent ? "a" : "");
    }

    @Test
    void newPrimaryDoesNotInheritThePoolLimit() {
        LogicFixture fixture =
                new LogicFixture(StaleReadPolicy.SERVE, false, Idempotency.NON_IDEMPOTENT, 100)
                        .discover(true, "a:primary", "b");
        fixture.serve(8, LogicFixture.WRITE, 2_000);
        Rpc waiting = fixture.arrive(LogicFixture.WRITE);
        assertThat(waiting.state).isEqualTo(State.PENDING);
        fixture.endCallOut(fixture.arrive(LogicFixture.ANY), Outcome.OK, Role.PRIMARY, 0)
                .advance(20);
        assertThat(LogicFixture.hostPath(waiting)).isEqualTo("b");
    }

    /** A slow or lossy network path to a zone affects all its hosts, also those without samples. */
    @Test
    void hostsInASlowZoneGetFewRpcsWithoutRecentSamples() {
        LogicFixture fixture =
                fixture(StaleReadPolicy.SERVE).discover(false, "far1", "far2", "far3");
        int sentFar = 0;
        for (int i = 0; i < 300; i++) {
            Rpc rpc = fixture.arrive(LogicFixture.ANY);
            boolean atFar = LogicFixture.hostPath(rpc).startsWith("far");
            sentFar += atFar && i >= 100 ? 1 : 0;
            fixture.advance(atFar ? 450 : 60).endCallOut(rpc, Outcome.OK, Role.REPLICA, 0);
        }
        assertThat(sentFar).isLessThan(20);
    }

    /**
     * Guards against conditions that lapse while a connection is being established: they must hold
     * at the decision and at the write.
     */
    @ParameterizedTest(
            name = "method {0} at a replica {1} ms behind, written {2} ms later, {3}: {4}")
    @CsvSource({
        "3, 250, 10, ready, true",
        "3, 250, 100, ready, false",
        "4, 900, 100, ready, true",
        "4, 10, 10, draining, false",
        "4, 10, 10, gone, false"
    })
    void sendIsCheckedAgainWhenItsConnectionIsUp(
            int method, long positionAgeMs, long delayMs, String state, boolean permitted) {
        LogicFixture fixture = fixtureWithPositions(positionAgeMs, positionAgeMs);
        Rpc rpc = fixture.arrive(method);
        CallOut callOut = rpc.callOuts.get(0);
        fixture.advance(delayMs).discover(false, callOut.host.id + ":" + state);
        assertThat(fixture.logic.maySendNow(fixture.now(), callOut)).isEqualTo(permitted);
    }

    /** Guards against keeping an RPC pending until its client has no time left for a retry. */
    @ParameterizedTest(name = "method {0}, waits {1} ms: pushed back between {2} and {3} ms")
    @CsvSource({
        "3, 200, 60, 95",
        "3, 400, 160, 195",
        "3, 2000, 240, 460",
        "0, 400, 160, 195",
        "0, 2000, 960, 995"
    })
    void unsentRpcIsPushedBackBeforeHalfOfTheClientsTime(
            int method, long clientTimeoutMs, long minMs, long maxMs) {
        LogicFixture fixture =
                new LogicFixture(StaleReadPolicy.SERVE, true, Idempotency.NON_IDEMPOTENT, 2)
                        .discover(true, "a:draining", "b:draining");
        Rpc rpc = fixture.arrive(method, 0, clientTimeoutMs);
        fixture.advance(minMs);
        assertThat(rpc.state).isEqualTo(State.PENDING);
        fixture.advance(maxMs - minMs);
        assertThat(fixture.actions).contains("push back " + rpc.id);
    }

    /**
     * Guards against a check that is not due before a pending RPC's deadline: the RPC was then
     * answered late, by the watchdog for RPCs that a defect leaves unanswered.
     */
    @ParameterizedTest(name = "a client that waits {0} ms")
    @CsvSource({"300", "303", "306", "309"})
    void pendingRpcIsAnsweredBeforeItsDeadlineEvenIfNoCheckIsDue(long clientTimeoutMs) {
        LogicFixture fixture = fixture(StaleReadPolicy.SERVE).discover(true, "b");
        Rpc write = fixture.arrive(LogicFixture.WRITE, 0, clientTimeoutMs);
        fixture.endCallOut(write, Outcome.INELIGIBLE, Role.REPLICA, -1)
                .advance(clientTimeoutMs - 11);
        assertThat(write.state).isEqualTo(State.PENDING);
        fixture.advance(1);
        fixture.logic.onBatchEnd(fixture.now());
        assertThat(write.state).isEqualTo(State.DONE);
        assertThat(fixture.actions).endsWith("push back " + write.id);
    }

    /**
     * Guards against checks that visit all hosts for each pending RPC and each cold host: one check
     * visits every host at most once, however many RPCs wait.
     */
    @ParameterizedTest(name = "{0} hosts")
    @ValueSource(ints = {32, 1_024})
    void checksForColdHostsVisitEveryHostAtMostOnce(int hostCount) {
        LogicFixture fixture =
                new LogicFixture(StaleReadPolicy.SERVE, false, Idempotency.IDEMPOTENT, 1_024);
        fixture.discover(
                true,
                IntStream.range(0, hostCount)
                        .mapToObj(i -> i < 6 ? "h" + i + ":cold" : "other" + i)
                        .toArray(String[]::new));
        int checkIntervalMs = 10;
        int checks = 10;
        for (int round = 0; round < 8; round++) {
            for (int i = 0; i < 60; i++) {
                fixture.arrive(LogicFixture.ANY);
            }
            fixture.hostVisits = 0;
            fixture.advance(checks * checkIntervalMs);
            assertThat(fixture.hostVisits).isBetween(1L, (long) checks * hostCount);
            fixture.advance(1_000);
        }
    }
}
