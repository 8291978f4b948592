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

/** What deciding costs, and what is kept of each connection for it, without any socket. */
public final class KeeperBenchmark {
    private static final int ROUNDS = 15;
    private static final int STEPS = 200_000;
    private static final int ADDRESSES = 1_000;
    private static final long MEMORY = 1 << 28;
    private static final long SETTLED_MS = 200;

    private final PrintStream out;

    public KeeperBenchmark(PrintStream out) {
        this.out = out;
    }

    /** A connection without a socket. */
    private static final class Bare extends Peer {}

    /**
     * The median over rounds, in nanoseconds a step, and the bytes kept a connection, at each size.
     */
    public JsonArray run(List<Integer> sizes) throws InterruptedException {
        JsonArray all = new JsonArray();
        out.printf(
                "%10s %14s %14s %14s %10s%n",
                "kept", "timer step ns", "answer ns", "give way ns", "bytes each");
        // Once over without being told, so that the first size is not that of code that is not
        // compiled yet.
        measure(sizes.get(0));
        for (int size : sizes) {
            double[] figures = measure(size);
            out.printf(
                    "%10d %14.1f %14.1f %14.1f %10.0f%n",
                    size, figures[0], figures[1], figures[2], figures[3]);
            all.add(
                    new JsonObject()
                            .put("what", "keeper")
                            .put("kept", size)
                            .put("timer_step_ns", figures[0])
                            .put("answer_ns", figures[1])
                            .put("give_way_ns", figures[2])
                            .put("bytes_each", figures[3]));
        }
        return all;
    }

    private static long used() throws InterruptedException {
        System.gc();
        Thread.sleep(SETTLED_MS);
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private double[] measure(int size) throws InterruptedException {
        long before = used();
        Limits limits = Limits.of(size, 512, Span.ofMillis(1_000), Span.ofMillis(1_000));
        Keeper keeper = new Keeper(limits);
        Debtors debtors = new Debtors(limits, new Budget(MEMORY));
        Peer[] peers = new Peer[size];
        Object[] addresses = new Object[ADDRESSES];
        Arrays.setAll(addresses, i -> "address " + i);
        long now = 1;
        for (int i = 0; i < size; i++) {
            peers[i] = new Bare();
            keeper.enter(peers[i], addresses[i % ADDRESSES], now);
            keeper.served(peers[i], null, now);
            keeper.stands(peers[i], Standing.SERVED, now);
        }
        double kept = (used() - before) / (double) size;
        SplittableRandom random = new SplittableRandom(1);
        double[] look = new double[ROUNDS];
        double[] answer = new double[ROUNDS];
        double[] give = new double[ROUNDS];
        int found = 0;
        for (int round = 0; round < ROUNDS; round++) {
            long begun = System.nanoTime();
            for (int i = 0; i < STEPS; i++) {
                found += keeper.due(now) == null ? 0 : 1;
                found += debtors.due(now) == null ? 0 : 1;
            }
            look[round] = (System.nanoTime() - begun) / (double) STEPS;
            begun = System.nanoTime();
            for (int i = 0; i < STEPS; i++) {
                Peer peer = peers[random.nextInt(size)];
                keeper.stands(peer, Standing.BUSY, now);
                keeper.served(peer, null, now);
                keeper.stands(peer, Standing.SERVED, now);
            }
            answer[round] = (System.nanoTime() - begun) / (double) STEPS;
            begun = System.nanoTime();
            for (int i = 0; i < STEPS; i++) {
                Peer least = keeper.toGiveWay();
                keeper.leave(least);
                keeper.enter(least, addresses[i % ADDRESSES], now);
                keeper.stands(least, Standing.SERVED, now);
            }
            give[round] = (System.nanoTime() - begun) / (double) STEPS;
        }
        if (found > 0) {
            throw new IllegalStateException("something was due that had no time limit");
        }
        return new double[] {median(look), median(answer), median(give), kept};
    }

    private static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }
}
