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

class LogicTest {
    private static Scene scene(StaleReadPolicy checks) {
        return new Scene(checks, checks == StaleReadPolicy.SERVE, Idempotency.NON_IDEMPOTENT, 2)
                .list(true, "a:primary", "b", "c");
    }

    /** Lets b and c tell positions of these ages by answering any-reads. */
    private static Scene positions(long ageOfB, long ageOfC) {
        Scene scene = scene(StaleReadPolicy.SERVE);
        Rpc first = scene.arrive(Scene.ANY);
        Rpc second = scene.arrive(Scene.ANY);
        for (Rpc rpc : List.of(first, second)) {
            scene.end(rpc, Outcome.OK, Role.REPLICA, Scene.path(rpc).equals("b") ? ageOfB : ageOfC);
        }
        return scene;
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
    void gateTakesReplicasKnownPastThePositionElseThePrimaryAfterABriefWait(
            int method, long token, long b, long c, String expected) {
        Scene scene = positions(b, c);
        Rpc rpc = scene.arrive(method, token);
        scene.pass(40);
        assertThat(expected.split("\\|")).contains(Scene.path(rpc));
    }

    @Test
    void fewestOwnInFlightWinsAmongPassingReplicas() {
        Scene scene = positions(10, 10);
        Rpc first = scene.arrive(Scene.BOUNDED);
        Rpc second = scene.arrive(Scene.BOUNDED);
        assertThat(List.of(Scene.path(first), Scene.path(second)))
                .containsExactlyInAnyOrder("b", "c");
    }

    /**
     * Guards against an RPC that nothing holds any more and that still goes out, or stays without
     * an answer.
     */
    @Test
    void whatThereIsNoRoomToHoldIsPushedBackAtOnceAndGoesNowhere() {
        Scene scene =
                new Scene(StaleReadPolicy.SERVE, false, Idempotency.NON_IDEMPOTENT, 1)
                        .list(true, "a:primary", "b");
        Rpc rpc =
                new Rpc(
                        "x",
                        scene.arrive(Scene.ANY).method,
                        null,
                        scene.logic.group(1),
                        "s",
                        scene.now(),
                        scene.now().plus(Span.ofMillis(900)),
                        Moment.NEVER,
                        false);
        rpc.rejectOnArrival = true;
        scene.asked.clear();
        scene.logic.onRpcArrived(scene.now(), rpc);
        scene.logic.onBatchEnd(scene.now());
        assertThat(scene.asked).containsExactly("push back x");
        assertThat(rpc.callOuts).isEmpty();
    }

    @Test
    void whereHostsCheckAReplicaIsTriedThenThePrimaryAndOneFoundBehindIsLeftAlone() {
        Scene scene = scene(StaleReadPolicy.REJECT);
        Rpc first = scene.arrive(Scene.SESSION, 100);
        String replica = Scene.path(first);
        assertThat(replica).isIn("b", "c");
        scene.end(first, Outcome.INELIGIBLE, Role.REPLICA, -1);
        String other = replica.equals("b") ? "c" : "b";
        scene.end(first, Outcome.INELIGIBLE, Role.REPLICA, -1).pass(20);
        assertThat(Scene.path(first)).isEqualTo(replica + "," + other + ",a");
        Rpc second = scene.arrive(Scene.SESSION, 50);
        scene.pass(30);
        assertThat(Scene.path(second)).isEqualTo("a");
    }

    @ParameterizedTest(name = "{0} after {1}: sent again {2}, then {3}")
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
    void onlyWhatCannotTakeEffectTwiceGoesAgainOrIsPushedBack(
            Idempotency effect, Outcome outcome, boolean again, String end) {
        Scene scene =
                new Scene(StaleReadPolicy.SERVE, false, effect, 2)
                        .list(true, "a:primary", "b", "c");
        Rpc rpc = scene.arrive(Scene.WRITE);
        scene.end(rpc, outcome, Role.UNKNOWN, -1).pass(50);
        assertThat(rpc.callOuts.size() > 1).isEqualTo(again);
        while (rpc.state == State.IN_FLIGHT) {
            scene.list(true, "a:draining", "b:draining", "c:draining")
                    .end(rpc, outcome, Role.UNKNOWN, -1);
        }
        scene.pass(2_000);
        assertThat(
                        scene.asked.stream()
                                .filter(
                                        action ->
                                                action.startsWith("abort")
                                                        || action.startsWith("push back")))
                .containsExactly(end + " " + rpc.id);
    }

    @Test
    void aTokenedRpcThatMayHaveRunIsNotSentAgainAfterItsWindow() {
        Scene scene =
                new Scene(StaleReadPolicy.SERVE, false, Idempotency.TOKENED, 2)
                        .list(true, "a:primary", "b");
        Rpc rpc = scene.arrive(Scene.WRITE);
        scene.pass(1_000).end(rpc, Outcome.CONNECTION_LOST, Role.UNKNOWN, -1).pass(900);
        assertThat(rpc.callOuts).hasSize(1);
        assertThat(scene.asked).endsWith("abort " + rpc.id);
    }

    @ParameterizedTest
    @CsvSource({"b:draining", "b:gone"})
    void nothingNewGoesToAHostThatDrainsOrIsGone(String entry) {
        Scene scene = scene(StaleReadPolicy.SERVE).list(false, entry);
        for (int i = 0; i < 8; i++) {
            scene.arrive(Scene.ANY);
        }
        assertThat(scene.asked)
                .anyMatch(action -> action.endsWith(" c"))
                .noneMatch(action -> action.endsWith(" b"));
    }

    @Test
    void aHostMissingFromACompleteListIsGone() {
        Scene scene = scene(StaleReadPolicy.SERVE).list(true, "a:primary", "c");
        scene.arrive(Scene.ANY);
        scene.arrive(Scene.ANY);
        assertThat(scene.asked).noneMatch(action -> action.endsWith(" b"));
    }

    @ParameterizedTest(name = "{0} routers: at most {1} sends to a cold host in any second")
    @CsvSource({"2, 3", "10, 1", "30, 1"})
    void aColdHostIsSentOurPartOfItsBudgetInAnyWindow(int routers, int most) {
        Scene scene =
                new Scene(StaleReadPolicy.SERVE, true, Idempotency.TOKENED, routers)
                        .list(true, "a:cold");
        List<Long> sends = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            Rpc rpc = scene.arrive(Scene.ANY);
            scene.pass(5);
            if (rpc.state == State.IN_FLIGHT) {
                sends.add(i * 5L);
                scene.end(rpc, Outcome.OK, Role.REPLICA, 0);
            }
        }
        for (long from : sends) {
            assertThat(sends.stream().filter(at -> at >= from && at < from + 1_000).count())
                    .isLessThanOrEqualTo(most);
        }
        assertThat(sends.size()).isLessThanOrEqualTo(2 * most);
    }

    /** Hung, gone silent or cut off: told by waiting alone. */
    @ParameterizedTest
    @CsvSource({"SERVE, 2", "REJECT, 1"})
    void aSilentHostIsLeftAndItsIdempotentWorkRescued(StaleReadPolicy checks, int copies) {
        Scene scene = scene(checks);
        Rpc stuck = scene.arrive(Scene.ANY);
        String silent = Scene.path(stuck);
        scene.othersAnswer(1_300);
        assertThat(scene.host(silent).suspect).isTrue();
        assertThat(stuck.callOuts.size()).isEqualTo(copies);
        if (checks == StaleReadPolicy.REJECT) {
            assertThat(scene.asked).contains("cancel " + stuck.id);
        }
        for (int i = 0; i < 5; i++) {
            scene.end(scene.arrive(Scene.ANY), Outcome.OK, Role.REPLICA, 0);
        }
        assertThat(
                        scene.asked.stream()
                                .filter(
                                        action ->
                                                action.endsWith(" " + silent)
                                                        && action.startsWith("send")))
                .hasSize(1);
    }

    @Test
    void writesAreHeldFromASilentPrimaryUntilAnotherIsHeardOf() {
        Scene scene = scene(StaleReadPolicy.SERVE);
        Rpc lost = scene.arrive(Scene.WRITE);
        scene.othersAnswer(1_300);
        Rpc held = scene.arrive(Scene.WRITE);
        scene.pass(300);
        assertThat(held.state).isEqualTo(State.PENDING);
        scene.end(scene.arrive(Scene.ANY), Outcome.OK, Role.PRIMARY, 0).pass(20);
        assertThat(held.callOuts).hasSize(1);
        assertThat(Scene.path(held)).isNotEqualTo(Scene.path(lost));
    }

    /** A hung host with a full queue still turns work away, which is no sign of health. */
    @ParameterizedTest
    @CsvSource({"OVERLOADED, true", "OK, false"})
    void onlyUsefulAnswersClearSuspicion(Outcome outcome, boolean suspect) {
        Scene scene = scene(StaleReadPolicy.SERVE);
        Rpc stuck = scene.arrive(Scene.ANY);
        String silent = Scene.path(stuck);
        scene.othersAnswer(1_300);
        scene.logic.onCallOutEnded(
                scene.now(),
                stuck.callOuts.get(0),
                outcome,
                false,
                Role.REPLICA,
                scene.now(),
                scene.now().since(stuck.callOuts.get(0).sentAt));
        assertThat(scene.host(silent).suspect).isEqualTo(suspect);
    }

    /** A host that answers badly but fast must not look idle. */
    @ParameterizedTest
    @CsvSource({"OVERLOADED", "ERROR"})
    void aHostThatTurnsWorkAwayRests(Outcome outcome) {
        Scene scene = scene(StaleReadPolicy.SERVE);
        int bad = 0;
        for (int i = 0; i < 100; i++) {
            Rpc rpc = scene.arrive(Scene.ANY);
            boolean atB = Scene.path(rpc).equals("b");
            bad += atB ? 1 : 0;
            scene.pass(10).end(rpc, atB ? outcome : Outcome.OK, Role.REPLICA, 0);
        }
        assertThat(bad).isBetween(1, 10);
    }

    @ParameterizedTest(name = "list names b after an answer of b as {0}: primary {1}")
    @CsvSource({"REPLICA, ", "PRIMARY, b"})
    void aLateListDoesNotOverruleAFresherAnswer(Role role, String primary) {
        Scene scene = scene(StaleReadPolicy.REJECT).list(false, "c:gone");
        scene.end(scene.arrive(Scene.ANY), Outcome.OK, role, 0);
        scene.end(
                scene.arrive(Scene.WRITE),
                Outcome.INELIGIBLE,
                role == Role.PRIMARY ? Role.PRIMARY : Role.REPLICA,
                0);
        scene.list(false, "b:primary");
        assertThat(scene.logic.group(1).primary)
                .isEqualTo(primary == null ? null : scene.host(primary));
    }

    @Test
    void withNoKnownPrimaryAWriteTriesMembersInIdOrderThenWaitsForNews() {
        Scene scene =
                new Scene(StaleReadPolicy.REJECT, false, Idempotency.NON_IDEMPOTENT, 2)
                        .list(true, "c", "a", "b");
        Rpc rpc = scene.arrive(Scene.WRITE);
        for (int i = 0; i < 3; i++) {
            scene.end(rpc, Outcome.INELIGIBLE, Role.REPLICA, -1);
        }
        assertThat(Scene.path(rpc)).isEqualTo("a,b,c");
        assertThat(rpc.state).isEqualTo(State.PENDING);
        scene.end(scene.arrive(Scene.ANY), Outcome.OK, Role.PRIMARY, 0);
        assertThat(rpc.callOuts).hasSize(4);
    }

    @Test
    void aSlowFleetIsSentLessAndTheRestAnsweredBeforeItIsUseless() {
        Scene scene = scene(StaleReadPolicy.SERVE);
        List<Rpc> rpcs = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            rpcs.add(scene.arrive(Scene.ANY));
            scene.pass(10);
            for (Rpc rpc : rpcs) {
                if (rpc.inFlight == 1
                        && scene.now().since(rpc.callOuts.get(0).sentAt).us() > 450_000) {
                    scene.end(rpc, Outcome.OK, Role.REPLICA, 0);
                }
            }
        }
        // Fewer than arrive in an answer's time, but never below four a host by all routers
        // together.
        assertThat(rpcs.stream().filter(rpc -> rpc.inFlight > 0).count()).isBetween(4L, 12L);
        assertThat(scene.asked).anyMatch(action -> action.startsWith("push back"));
    }

    @Test
    void everyHeldRpcIsAnsweredOnceBeforeItsDeadline() {
        Scene scene =
                new Scene(StaleReadPolicy.SERVE, true, Idempotency.NON_IDEMPOTENT, 2)
                        .list(true, "a:gone");
        List<Rpc> rpcs = new ArrayList<>();
        for (int method = Scene.WRITE; method <= Scene.ANY; method++) {
            rpcs.add(scene.arrive(method));
        }
        scene.pass(1_999);
        assertThat(scene.asked.stream().filter(action -> action.startsWith("push back")))
                .hasSize(rpcs.size());
        assertThat(rpcs).allMatch(rpc -> rpc.state == State.DONE);
    }

    @Test
    void whatIsStuckAtASilentHostTakesNoRoomFromTheOthers() {
        Scene scene = scene(StaleReadPolicy.SERVE);
        Rpc stuck = scene.arrive(Scene.WRITE);
        ConcurrencyLimit pool = stuck.callOuts.get(0).pool;
        assertThat(pool.inFlight).isEqualTo(1);
        scene.othersAnswer(1_300);
        assertThat(pool.inFlight).isZero();
        scene.end(stuck, Outcome.TIMED_OUT, Role.UNKNOWN, -1);
        assertThat(pool.inFlight).isZero();
    }

    /**
     * Guards against a suspect primary that no read needs, and that so stays without writes for
     * ever.
     */
    @Test
    void aSuspectPrimaryIsTriedWithAReadThoughReplicasPass() {
        Scene scene = scene(StaleReadPolicy.SERVE).list(true, "a:primary", "b");
        Rpc write = scene.arrive(Scene.WRITE);
        scene.pass(100).end(write, Outcome.CONNECT_FAILED, Role.UNKNOWN, -1);
        assertThat(scene.host("a").suspect).isTrue();
        scene.logic.onProbeEnded(scene.now(), scene.host("a"), true, Role.UNKNOWN, Moment.NEVER);
        scene.pass(500);
        assertThat(Scene.path(scene.arrive(Scene.ANY))).isEqualTo("a");
    }

    /** Guards against lists that name new hosts without end. */
    @Test
    void aHostThatIsGoneIsLetGo() {
        Scene scene = scene(StaleReadPolicy.SERVE).list(true, "a:primary");
        assertThat(scene.host("b")).isNull();
        assertThat(scene.logic.group(1).members).containsExactly(scene.host("a"));
    }

    @Test
    void amongEqualsTheNewestHeldRpcGoesFirst() {
        Scene scene = scene(StaleReadPolicy.SERVE).list(true, "a:gone", "b:draining");
        Rpc older = scene.arrive(Scene.ANY);
        Rpc newer = scene.pass(50).arrive(Scene.ANY);
        scene.host("b").concurrency.limit = 1;
        scene.list(true, "a:gone", "b").pass(20);
        assertThat(List.of(older.inFlight, newer.inFlight)).isEqualTo(List.of(0, 1));
    }

    /**
     * A method that only slow hosts serve must not be given up unsent: it would never be timed
     * again.
     */
    @Test
    void aMethodWithSlowAnswersIsStillTried() {
        Scene scene = positions(900, 900);
        for (int i = 0; i < 30; i++) {
            Rpc slow = scene.arrive(Scene.BOUNDED);
            scene.pass(520);
            if (slow.inFlight > 0) {
                scene.end(slow, Outcome.OK, Role.PRIMARY, 0);
            }
        }
        Rpc next = scene.pass(60_000).arrive(Scene.BOUNDED);
        scene.pass(40);
        assertThat(Scene.path(next)).isEqualTo("a");
    }

    /**
     * A list that calls live hosts gone: only draining binds there, and writes and probes must go
     * on too.
     */
    @ParameterizedTest
    @CsvSource({"false, ", "true, a"})
    void whereOnlyDrainingBindsAHostListedGoneIsStillUsed(
            boolean onlyDrainingBinds, String expected) {
        Scene scene =
                new Scene(StaleReadPolicy.SERVE, true, Idempotency.TOKENED, 2, onlyDrainingBinds)
                        .list(true, "a:primary", "b")
                        .list(true);
        Rpc write = scene.arrive(Scene.WRITE);
        scene.pass(30);
        assertThat(Scene.path(write)).isEqualTo(expected == null ? "" : expected);
        scene.list(false, "a:draining", "b:draining").list(true);
        assertThat(Scene.path(scene.arrive(Scene.ANY))).isEmpty();
    }

    /**
     * Hundreds of routers that each ask a silent host every quarter of a second cost more than they
     * learn.
     */
    @Test
    void probesForNewsStayWithinTheirBudgetHoweverLongAHostIsSilent() {
        Scene scene = scene(StaleReadPolicy.REJECT);
        scene.arrive(Scene.WRITE);
        scene.othersAnswer(1_300);
        for (int i = 0; i < 80; i++) {
            scene.logic.onProbeEnded(
                    scene.now(), scene.host("a"), false, Role.UNKNOWN, Moment.NEVER);
            scene.pass(250).arrive(Scene.FRESH);
        }
        assertThat(scene.host("a").suspect).isTrue();
        long asked = scene.asked.stream().filter(action -> action.equals("probe a")).count();
        // The burst, and half a probe for each RPC.
        assertThat(asked).isBetween(10L, 10 + 100 / 2L);
    }

    /** Bad RPCs err wherever they go; the hosts that say so are well. */
    @Test
    void anRpcThatErrsAtTwoHostsIsGivenUpAndHostsThatServeOthersDoNotRest() {
        Scene scene = scene(StaleReadPolicy.SERVE);
        for (int i = 0; i < 30; i++) {
            Rpc bad = scene.arrive(Scene.ANY);
            scene.end(bad, Outcome.ERROR, Role.REPLICA, 0).end(bad, Outcome.ERROR, Role.REPLICA, 0);
            assertThat(Scene.path(bad)).isIn("b,c", "c,b");
            assertThat(bad.state).isEqualTo(State.DONE);
            scene.serve(4, Scene.ANY, 20);
        }
        assertThat(List.of(scene.host("b"), scene.host("c")))
                .allMatch(host -> !scene.now().before(host.ejectedUntil));
    }

    /**
     * The last case guards against a host that was down and is back: it never was full of
     * connections.
     */
    @ParameterizedTest(
            name = "refused after {0} ms, probes answered {1}: connections given back {2}")
    @CsvSource({"1, true, true", "1, false, false", "250, true, false", "1, false true, false"})
    void connectionsAreGivenBackWhereAHostThatRunsRefusesOne(
            long after, String answered, boolean given) {
        Scene scene = scene(StaleReadPolicy.SERVE);
        Rpc refused = scene.arrive(Scene.ANY);
        Host host = refused.callOuts.get(0).host;
        scene.pass(after).end(refused, Outcome.CONNECT_FAILED, Role.UNKNOWN, -1);
        for (String runs : answered.split(" ")) {
            scene.logic.onProbeEnded(
                    scene.now(), host, Boolean.parseBoolean(runs), Role.UNKNOWN, Moment.NEVER);
        }
        assertThat(host.suspect).isEqualTo(!given);
        scene.serve(3, Scene.ANY, 20);
        assertThat(scene.asked.stream().anyMatch(action -> action.startsWith("close")))
                .isEqualTo(given);
    }

    /** Many small routers that each keep one call-out out hold more than the hosts can do. */
    @ParameterizedTest(name = "{0} routers: {1} to {2} of 40 RPCs sent")
    @CsvSource({"2, 30, 40", "200, 1, 12"})
    void aSmallPartOfAPoolIsKeptByResting(int routers, int least, int most) {
        Scene scene =
                new Scene(StaleReadPolicy.REJECT, false, Idempotency.NON_IDEMPOTENT, routers)
                        .list(true, "a:primary", "b", "c");
        int sent = 0;
        for (int i = 0; i < 40; i++) {
            Rpc rpc = scene.arrive(Scene.WRITE);
            scene.pass(400);
            sent += rpc.callOuts.size();
            if (rpc.inFlight > 0) {
                scene.end(rpc, Outcome.OK, Role.PRIMARY, 0);
            }
            scene.pass(100);
        }
        assertThat(sent).isBetween(least, most);
    }

    /** Reads that replicas turn away must not fill the primary: only it takes writes. */
    @ParameterizedTest(name = "writes answered after {0} ms: read at the primary {1}")
    @CsvSource({"50, true", "1200, false"})
    void readsLeaveAStrainedPrimaryToTheWrites(long answered, boolean sent) {
        Scene scene =
                new Scene(StaleReadPolicy.SERVE, false, Idempotency.NON_IDEMPOTENT, 100)
                        .list(true, "a:primary", "b");
        scene.serve(12, Scene.WRITE, answered).pass(15_000);
        Rpc read = scene.arrive(Scene.SESSION, 1);
        scene.pass(100);
        assertThat(Scene.path(read)).isEqualTo(sent ? "a" : "");
    }

    @Test
    void aNewPrimaryIsNotHeldToTheRoomOfTheLast() {
        Scene scene =
                new Scene(StaleReadPolicy.SERVE, false, Idempotency.NON_IDEMPOTENT, 100)
                        .list(true, "a:primary", "b");
        scene.serve(8, Scene.WRITE, 2_000);
        Rpc held = scene.arrive(Scene.WRITE);
        assertThat(held.state).isEqualTo(State.PENDING);
        scene.end(scene.arrive(Scene.ANY), Outcome.OK, Role.PRIMARY, 0).pass(20);
        assertThat(Scene.path(held)).isEqualTo("b");
    }

    /**
     * A slow or lossy way to a zone shows in every host there, also in those not heard of for long.
     */
    @Test
    void hostsOfASlowZoneAreUsedLessUnseen() {
        Scene scene = scene(StaleReadPolicy.SERVE).list(false, "far1", "far2", "far3");
        int far = 0;
        for (int i = 0; i < 300; i++) {
            Rpc rpc = scene.arrive(Scene.ANY);
            boolean atFar = Scene.path(rpc).startsWith("far");
            far += atFar && i >= 100 ? 1 : 0;
            scene.pass(atFar ? 450 : 60).end(rpc, Outcome.OK, Role.REPLICA, 0);
        }
        assertThat(far).isLessThan(20);
    }

    /**
     * Guards against a connection that takes long to come up: what held at the decision must hold
     * at the write.
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
    void aSendIsAskedAboutAgainWhenItsConnectionIsUp(
            int method, long age, long later, String listing, boolean passes) {
        Scene scene = positions(age, age);
        Rpc rpc = scene.arrive(method);
        CallOut callOut = rpc.callOuts.get(0);
        scene.pass(later).list(false, callOut.host.id + ":" + listing);
        assertThat(scene.logic.maySendNow(scene.now(), callOut)).isEqualTo(passes);
    }

    /**
     * Guards against a client that repeats, with little time left, being held until it is too late
     * to try again.
     */
    @ParameterizedTest(name = "method {0}, waits {1} ms: given back between {2} and {3} ms")
    @CsvSource({
        "3, 200, 60, 95",
        "3, 400, 160, 195",
        "3, 2000, 240, 460",
        "0, 400, 160, 195",
        "0, 2000, 960, 995"
    })
    void whatNoHostHasSeenIsGivenBackBeforeHalfOfTheClientsTime(
            int method, long waits, long least, long most) {
        Scene scene =
                new Scene(StaleReadPolicy.SERVE, true, Idempotency.NON_IDEMPOTENT, 2)
                        .list(true, "a:draining", "b:draining");
        Rpc rpc = scene.arrive(method, 0, waits);
        scene.pass(least);
        assertThat(rpc.state).isEqualTo(State.PENDING);
        scene.pass(most - least);
        assertThat(scene.asked).contains("push back " + rpc.id);
    }

    /**
     * Guards against a look that is not due yet at the last moment of a held RPC: it was answered
     * by a guard, late.
     */
    @ParameterizedTest(name = "a client that waits {0} ms")
    @CsvSource({"300", "303", "306", "309"})
    void whatIsHeldIsAnsweredAtItsLastMomentWhetherALookIsDueOrNot(long waits) {
        Scene scene = scene(StaleReadPolicy.SERVE).list(true, "b");
        Rpc write = scene.arrive(Scene.WRITE, 0, waits);
        scene.end(write, Outcome.INELIGIBLE, Role.REPLICA, -1).pass(waits - 11);
        assertThat(write.state).isEqualTo(State.PENDING);
        scene.pass(1);
        scene.logic.onBatchEnd(scene.now());
        assertThat(write.state).isEqualTo(State.DONE);
        assertThat(scene.asked).endsWith("push back " + write.id);
    }

    /** Guards against looks whose cost is held RPCs times cold hosts times all hosts. */
    @Test
    void aLookAtWhatWaitsForColdHostsCostsNoMoreWhereTheListIsLong() {
        assertThat(costOfLooks(1_024)).isLessThan(8 * costOfLooks(32));
    }

    /** Nanoseconds of looks at RPCs that wait for one cold group, the best of some rounds. */
    private static double costOfLooks(int hosts) {
        Scene scene = new Scene(StaleReadPolicy.SERVE, false, Idempotency.IDEMPOTENT, 1_024);
        scene.list(
                true,
                IntStream.range(0, hosts)
                        .mapToObj(i -> i < 6 ? "h" + i + ":cold" : "other" + i)
                        .toArray(String[]::new));
        double best = Double.MAX_VALUE;
        for (int round = 0; round < 8; round++) {
            for (int i = 0; i < 60; i++) {
                scene.arrive(Scene.ANY);
            }
            long begun = System.nanoTime();
            scene.pass(100);
            best = Math.min(best, System.nanoTime() - begun);
            scene.pass(1_000);
        }
        return best;
    }
}
