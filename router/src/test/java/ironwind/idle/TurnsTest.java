package ironwind.idle;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import ironwind.idle.Budget.Use;
import ironwind.model.Span;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Turns, debtors, the budget and the steady time. */
class TurnsTest {
    private static final Limits LIMITS = KeeperTest.limits(100, 0, 0, 0, 0);
    private final Budget budget = new Budget(LIMITS.memory());
    private final Keeper keeper = new Keeper(LIMITS);
    private final Turns turns = new Turns(LIMITS, budget);
    private final Debtors debtors = new Debtors(LIMITS, budget);

    private Peer peer(ConnectionState standing, long servedAt) {
        Peer peer = new KeeperTest.Bare();
        keeper.enter(peer, "a", 0);
        if (servedAt > 0) {
            keeper.served(peer, null, servedAt);
        }
        keeper.stands(peer, standing, 0);
        return peer;
    }

    /**
     * Limits: turn 1 ms, active 60 ms, open RPCs 4, memory 1000 of which 750 for what is new; now
     * is 100 ms.
     */
    @ParameterizedTest(name = "{0}, answered at {1} us, {2} open, {3} bytes lent, others wait: {4}")
    @CsvSource({
        "IDLE, 99000, 9, 900, true, true",
        "IDLE, 30000, 0, 0, false, true",
        "IDLE, 30000, 0, 0, true, false",
        "IDLE, 30000, 4, 0, false, false",
        "IDLE, 30000, 0, 800, false, true",
        "STARTUP, 0, 0, 0, false, true",
        "STARTUP, 0, 0, 0, true, false",
        "RECEIVING, 0, 9, 900, true, true",
        "BUSY, 0, 9, 900, true, true"
    })
    void whoIsReadAtOnce(
            ConnectionState standing,
            long servedAt,
            int open,
            long lent,
            boolean others,
            boolean atOnce) {
        budget.force(Use.OPEN_RPCS, lent);
        if (others) {
            turns.begin(0);
            assertThat(turns.atOnce(peer(ConnectionState.IDLE, 0), 1_500, 0)).isFalse();
        }
        assertThat(turns.atOnce(peer(standing, servedAt), 100_000, open)).isEqualTo(atOnce);
        assertThat(turns.waiting()).isEqualTo((others ? 1 : 0) + (atOnce ? 0 : 1));
    }

    /** Guards against a crowd that is read in one go while those who were active wait behind it. */
    @Test
    void aCrowdIsReadInTurnsInTheOrderInWhichItCame() {
        turns.begin(0);
        List<Peer> crowd = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            Peer peer = peer(ConnectionState.IDLE, 0);
            crowd.add(peer);
            assertThat(turns.atOnce(peer, 1_200, 0)).isFalse();
            assertThat(turns.atOnce(peer, 1_200, 0)).isFalse();
        }
        keeper.leave(crowd.remove(7));
        List<Peer> read = new ArrayList<>();
        for (long turn = 2_000; turns.anyWaits(); turn += 1_000) {
            turns.begin(turn);
            int inTurn = 0;
            for (Peer next = turns.next(turn, 0);
                    next != null;
                    next = turns.next(turn + 100L * inTurn, 0)) {
                read.add(next);
                inTurn++;
            }
            assertThat(inTurn).isBetween(1, 10);
        }
        assertThat(read).isEqualTo(crowd);
    }

    /**
     * Guards against a crowd that waits out its deadlines behind RPCs that it can't be served
     * beside.
     */
    @Test
    void whoWaitedTooLongIsReadToBePushedBack() {
        turns.begin(0);
        Peer peer = peer(ConnectionState.IDLE, 0);
        assertThat(turns.atOnce(peer, 1_500, 4)).isFalse();
        turns.begin(40_000);
        assertThat(turns.next(40_000, 4)).isNull();
        assertThat(turns.hasTurn(40_000, 4)).isFalse();
        turns.begin(60_000);
        assertThat(turns.hasTurn(60_000, 4)).isTrue();
        assertThat(turns.next(60_000, 4)).isSameAs(peer);
        Span waited = turns.waited(peer, 60_000);
        assertThat(waited).isEqualTo(new Span(58_500));
        assertThat(turns.pushesBack(waited, 10)).isTrue();
        turns.heard(peer);
        assertThat(turns.pushesBack(turns.waited(peer, 90_000), 10)).isFalse();
        assertThat(turns.pushesBack(Span.ZERO, 751)).isTrue();
    }

    private record Owed(Peer peer, long[] bytes, long[] tookAt) {}

    /**
     * The first that is due is always the one that has taken nothing for longest, as a plain queue
     * has it.
     */
    @Property(tries = 300, seed = "20261202")
    void debtorsStandInTheOrderInWhichTheyLastTook(
            @ForAll @Size(max = 80) List<@IntRange(min = 0, max = 299) Integer> steps) {
        Budget own = new Budget(10_000);
        Debtors all = new Debtors(LIMITS, own);
        List<Owed> clients = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            clients.add(new Owed(new KeeperTest.Bare(), new long[1], new long[1]));
        }
        Deque<Owed> queue = new ArrayDeque<>();
        long now = 0;
        for (int step : steps) {
            now += step * 300L;
            Owed client = clients.get(step % 5);
            int bytes = step / 3;
            if (step % 3 == 0) {
                all.owe(client.peer, bytes, now);
                if (client.bytes[0] == 0 && bytes > 0) {
                    client.tookAt[0] = now;
                    queue.add(client);
                }
                client.bytes[0] += bytes;
            } else {
                int taken = (int) Math.min(bytes, client.bytes[0]);
                all.took(client.peer, taken, now);
                client.bytes[0] -= taken;
                if (taken > 0) {
                    queue.remove(client);
                    client.tookAt[0] = now;
                    if (client.bytes[0] > 0) {
                        queue.add(client);
                    }
                }
            }
            long sum = queue.stream().mapToLong(owed -> owed.bytes[0]).sum();
            assertThat(own.lent(Use.UNSENT_ANSWERS)).isEqualTo(sum);
            boolean due = !queue.isEmpty() && (sum > 400 || now - queue.peek().tookAt[0] > 100_000);
            assertThat(all.due(now)).isSameAs(due ? queue.peek().peer : null);
            assertThat(all.whyDue())
                    .isEqualTo(sum > 400 ? Reason.OWED_TOO_MUCH : Reason.SLOW_READER);
            assertThat(all.size()).isEqualTo(queue.size());
            assertThat(all.ahead(client.peer)).isEqualTo(client.bytes[0] > 100);
        }
        clients.forEach(client -> all.forget(client.peer));
        assertThat(own.sum()).isZero();
        assertThat(all.size()).isZero();
    }

    @Test
    void theBudgetLendsNoMoreThanThereIs() {
        assertThat(budget.lend(Use.PARTIAL_REQUESTS, 700)).isTrue();
        assertThat(budget.lend(Use.PARTIAL_ANSWERS, 301)).isFalse();
        assertThat(budget.lend(Use.PARTIAL_ANSWERS, 300)).isTrue();
        budget.force(Use.UNSENT_ANSWERS, 50);
        assertThat(budget.sum()).isEqualTo(1_050);
        assertThat(budget.lend(Use.PARTIAL_REQUESTS, -700)).isTrue();
        assertThat(budget.refused(Use.PARTIAL_ANSWERS)).isEqualTo(1);
        assertThat(budget.highest()).isEqualTo(1_050);
        assertThatThrownBy(() -> budget.back(Use.PARTIAL_ANSWERS, 301))
                .isInstanceOf(IllegalStateException.class);
    }

    /**
     * Guards against all connections being taken for silent after the clock has jumped or the
     * process has stood.
     */
    @ParameterizedTest(name = "a clock that jumps by {0} us tells {1} more, with {2} left out")
    @CsvSource({"1000, 1000, 0", "0, 0, 0", "-60000000, 0, 0", "60000000, 500000, 59500000"})
    void theSteadyTimeNeitherJumpsNorGoesBack(long jump, long told, long leftOut) {
        SteadyTime steady = new SteadyTime(Span.ofMillis(500));
        steady.at(90_000_000);
        long before = steady.at(90_001_000);
        assertThat(steady.at(90_001_000 + jump) - before).isEqualTo(told);
        assertThat(steady.leftOut().us()).isEqualTo(leftOut);
        assertThat(steady.at(90_001_000 + jump + 70) - before).isEqualTo(told + 70);
    }
}
