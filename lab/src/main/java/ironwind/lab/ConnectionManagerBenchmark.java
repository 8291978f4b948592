package ironwind.lab;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import ironwind.idle.ConnectionManager;
import ironwind.idle.ConnectionState;
import ironwind.idle.Limits;
import ironwind.idle.MemoryBudget;
import ironwind.idle.TrackedConnection;
import ironwind.idle.UnsentAnswers;
import ironwind.model.Span;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Measures the time that connection admission and eviction decisions take and the heap kept for
 * each connection, without any sockets.
 */
public final class ConnectionManagerBenchmark {
    private static final int ROUNDS = 15;
    private static final int STEPS_PER_ROUND = 200_000;
    private static final int ADDRESS_COUNT = 1_000;
    private static final long MEMORY_BUDGET_BYTES = 1 << 28;
    private static final long GC_SETTLE_MS = 200;

    private final PrintStream out;

    /** Creates a benchmark that prints its results to {@code out}. */
    public ConnectionManagerBenchmark(PrintStream out) {
        this.out = out;
    }

    private static final class SocketlessConnection extends TrackedConnection {}

    /**
     * Returns, for each number of connections, the median over all rounds of the nanoseconds per
     * step of each kind, and the bytes of heap per connection.
     */
    public JsonArray run(List<Integer> connectionCounts) throws InterruptedException {
        JsonArray results = new JsonArray();
        out.printf(
                "%10s %14s %14s %14s %10s%n",
                "open", "timer step ns", "answer ns", "eviction ns", "bytes each");
        // Warm-up run, so that the code is compiled before the first reported measurement.
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
        Limits limits =
                Limits.defaults(connections, 512, Span.ofMillis(1_000), Span.ofMillis(1_000));
        ConnectionManager manager = new ConnectionManager(limits);
        UnsentAnswers unsentAnswers =
                new UnsentAnswers(limits, new MemoryBudget(MEMORY_BUDGET_BYTES));
        TrackedConnection[] connectionsUnderTest = new TrackedConnection[connections];
        Object[] addresses = new Object[ADDRESS_COUNT];
        Arrays.setAll(addresses, i -> "address " + i);
        long now = 1;
        for (int i = 0; i < connections; i++) {
            connectionsUnderTest[i] = new SocketlessConnection();
            manager.add(connectionsUnderTest[i], addresses[i % ADDRESS_COUNT], now);
            manager.recordAnswer(connectionsUnderTest[i], null, now);
            manager.setState(connectionsUnderTest[i], ConnectionState.IDLE, now);
        }
        double bytesEach = (usedHeap() - before) / (double) connections;
        SplittableRandom random = new SplittableRandom(1);
        double[] timerNanos = new double[ROUNDS];
        double[] answerNanos = new double[ROUNDS];
        double[] evictionNanos = new double[ROUNDS];
        int expiredCount = 0;
        for (int round = 0; round < ROUNDS; round++) {
            long startNanos = System.nanoTime();
            for (int i = 0; i < STEPS_PER_ROUND; i++) {
                expiredCount += manager.nextExpired(now) == null ? 0 : 1;
                expiredCount += unsentAnswers.nextToClose(now) == null ? 0 : 1;
            }
            timerNanos[round] = (System.nanoTime() - startNanos) / (double) STEPS_PER_ROUND;
            startNanos = System.nanoTime();
            for (int i = 0; i < STEPS_PER_ROUND; i++) {
                TrackedConnection connection = connectionsUnderTest[random.nextInt(connections)];
                manager.setState(connection, ConnectionState.BUSY, now);
                manager.recordAnswer(connection, null, now);
                manager.setState(connection, ConnectionState.IDLE, now);
            }
            answerNanos[round] = (System.nanoTime() - startNanos) / (double) STEPS_PER_ROUND;
            startNanos = System.nanoTime();
            for (int i = 0; i < STEPS_PER_ROUND; i++) {
                TrackedConnection evicted = manager.evictionCandidateIfFull();
                manager.remove(evicted);
                manager.add(evicted, addresses[i % ADDRESS_COUNT], now);
                manager.setState(evicted, ConnectionState.IDLE, now);
            }
            evictionNanos[round] = (System.nanoTime() - startNanos) / (double) STEPS_PER_ROUND;
        }
        if (expiredCount > 0) {
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
