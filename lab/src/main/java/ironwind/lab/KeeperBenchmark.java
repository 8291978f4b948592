package ironwind.lab;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import ironwind.idle.Budget;
import ironwind.idle.Debtors;
import ironwind.idle.Keeper;
import ironwind.idle.Limits;
import ironwind.idle.Peer;
import ironwind.idle.Standing;
import ironwind.model.Span;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Measures the time that connection admission and eviction decisions take and the heap kept for
 * each connection, without any sockets.
 */
public final class KeeperBenchmark {
    private static final int ROUNDS = 15;
    private static final int STEPS_PER_ROUND = 200_000;
    private static final int ADDRESS_COUNT = 1_000;
    private static final long MEMORY_BUDGET_BYTES = 1 << 28;
    private static final long GC_SETTLE_MS = 200;

    private final PrintStream out;

    /** Creates a benchmark that prints its results to {@code out}. */
    public KeeperBenchmark(PrintStream out) {
        this.out = out;
    }

    private static final class SocketlessPeer extends Peer {}

    /**
     * Returns, for each number of connections, the median over rounds in nanoseconds per step and
     * the bytes of heap per connection.
     */
    public JsonArray run(List<Integer> connectionCounts) throws InterruptedException {
        JsonArray results = new JsonArray();
        out.printf(
                "%10s %14s %14s %14s %10s%n",
                "open", "timer step ns", "answer ns", "eviction ns", "bytes each");
        // Warm-up run, so that the first reported figures are not those of code that has not been
        // compiled yet.
        measure(connectionCounts.get(0));
        for (int connections : connectionCounts) {
            double[] figures = measure(connections);
            out.printf(
                    "%10d %14.1f %14.1f %14.1f %10.0f%n",
                    connections, figures[0], figures[1], figures[2], figures[3]);
            results.add(
                    new JsonObject()
                            .put("what", "keeper")
                            .put("kept", connections)
                            .put("timer_step_ns", figures[0])
                            .put("answer_ns", figures[1])
                            .put("give_way_ns", figures[2])
                            .put("bytes_each", figures[3]));
        }
        return results;
    }

    private static long usedHeap() throws InterruptedException {
        System.gc();
        Thread.sleep(GC_SETTLE_MS);
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private double[] measure(int connections) throws InterruptedException {
        long before = usedHeap();
        Limits limits = Limits.of(connections, 512, Span.ofMillis(1_000), Span.ofMillis(1_000));
        Keeper keeper = new Keeper(limits);
        Debtors debtors = new Debtors(limits, new Budget(MEMORY_BUDGET_BYTES));
        Peer[] peers = new Peer[connections];
        Object[] addresses = new Object[ADDRESS_COUNT];
        Arrays.setAll(addresses, i -> "address " + i);
        long now = 1;
        for (int i = 0; i < connections; i++) {
            peers[i] = new SocketlessPeer();
            keeper.enter(peers[i], addresses[i % ADDRESS_COUNT], now);
            keeper.served(peers[i], null, now);
            keeper.stands(peers[i], Standing.SERVED, now);
        }
        double bytesEach = (usedHeap() - before) / (double) connections;
        SplittableRandom random = new SplittableRandom(1);
        double[] timerNanos = new double[ROUNDS];
        double[] answerNanos = new double[ROUNDS];
        double[] evictionNanos = new double[ROUNDS];
        int dueCount = 0;
        for (int round = 0; round < ROUNDS; round++) {
            long startNanos = System.nanoTime();
            for (int i = 0; i < STEPS_PER_ROUND; i++) {
                dueCount += keeper.due(now) == null ? 0 : 1;
                dueCount += debtors.due(now) == null ? 0 : 1;
            }
            timerNanos[round] = (System.nanoTime() - startNanos) / (double) STEPS_PER_ROUND;
            startNanos = System.nanoTime();
            for (int i = 0; i < STEPS_PER_ROUND; i++) {
                Peer peer = peers[random.nextInt(connections)];
                keeper.stands(peer, Standing.BUSY, now);
                keeper.served(peer, null, now);
                keeper.stands(peer, Standing.SERVED, now);
            }
            answerNanos[round] = (System.nanoTime() - startNanos) / (double) STEPS_PER_ROUND;
            startNanos = System.nanoTime();
            for (int i = 0; i < STEPS_PER_ROUND; i++) {
                Peer evicted = keeper.toGiveWay();
                keeper.leave(evicted);
                keeper.enter(evicted, addresses[i % ADDRESS_COUNT], now);
                keeper.stands(evicted, Standing.SERVED, now);
            }
            evictionNanos[round] = (System.nanoTime() - startNanos) / (double) STEPS_PER_ROUND;
        }
        if (dueCount > 0) {
            throw new IllegalStateException(
                    "a connection without a time limit was reported as due");
        }
        return new double[] {
            median(timerNanos), median(answerNanos), median(evictionNanos), bytesEach
        };
    }

    private static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }
}
