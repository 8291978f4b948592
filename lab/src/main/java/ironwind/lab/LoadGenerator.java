package ironwind.lab;

import ironwind.lab.AsyncClient.Outcome;
import ironwind.standin.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.HdrHistogram.Histogram;

/**
 * Open-loop load generator: sends reads at a fixed rate, independent of the responses. Latency is
 * measured from the time at which a request was due rather than sent, and requests that find no
 * idle connection are counted, so that a stall is not hidden by delayed or omitted requests
 * (coordinated omission).
 */
final class LoadGenerator implements AutoCloseable {
    private static final long MAX_LATENCY_US = 60_000_000;
    private static final long DEADLINE_MS = 2_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final EventLoop loop = new EventLoop("load-generator");
    private final List<AsyncClient> clients = new ArrayList<>();
    private final int requestsPerSecond;
    private Result result;
    private int nextClient;
    private int nextRequest;

    /** Latencies and outcomes of the requests of one run. */
    static final class Result {
        final Histogram latencyMicros = new Histogram(MAX_LATENCY_US, 3);
        final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);

        /** Requests that were due while no connection was idle. */
        int notSent;
    }

    /** Opens the connections, spread evenly over the routers, and waits until all are ready. */
    LoadGenerator(List<InetSocketAddress> routers, int connections, int requestsPerSecond)
            throws IOException, InterruptedException {
        this.requestsPerSecond = requestsPerSecond;
        CountDownLatch ready = new CountDownLatch(connections);
        AsyncClient.Listener listener =
                new AsyncClient.Listener() {
                    @Override
                    public void ready(AsyncClient client) {
                        ready.countDown();
                    }

                    @Override
                    public void completed(AsyncClient client, Outcome outcome, long dueNanos) {
                        result.outcomes.merge(outcome, 1, Integer::sum);
                        result.latencyMicros.recordValue(
                                Math.min(
                                        MAX_LATENCY_US,
                                        Math.max(0, System.nanoTime() - dueNanos) / 1_000));
                    }
                };
        loop.execute(
                () -> {
                    for (int i = 0; i < connections; i++) {
                        InetSocketAddress from = new InetSocketAddress("127.8.0.1", 0);
                        clients.add(
                                AsyncClient.connect(
                                        loop, from, routers.get(i % routers.size()), listener));
                    }
                });
        ready.await();
    }

    /** Sends requests for a number of seconds, then waits one second for the last responses. */
    Result run(double seconds) throws InterruptedException {
        Result current = new Result();
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(
                () -> {
                    result = current;
                    long start = System.nanoTime();
                    sendDue(start, 0, (long) (seconds * requestsPerSecond), done);
                });
        done.await();
        return current;
    }

    private void sendDue(long start, long firstIndex, long total, CountDownLatch done) {
        long index = firstIndex;
        while (index < total
                && start + index * NANOS_PER_SECOND / requestsPerSecond <= System.nanoTime()) {
            sendOne(start + index * NANOS_PER_SECOND / requestsPerSecond);
            index++;
        }
        long nextIndex = index;
        if (index < total) {
            loop.schedule(
                    start + index * NANOS_PER_SECOND / requestsPerSecond,
                    () -> sendDue(start, nextIndex, total, done));
        } else {
            loop.schedule(System.nanoTime() + NANOS_PER_SECOND, done::countDown);
        }
    }

    private void sendOne(long dueNanos) {
        for (int i = 0; i < clients.size(); i++) {
            AsyncClient client = clients.get(nextClient++ % clients.size());
            if (client.isIdle()) {
                client.sendRead("a" + nextRequest++, "k", DEADLINE_MS, dueNanos);
                return;
            }
        }
        result.notSent++;
    }

    @Override
    public void close() throws InterruptedException {
        loop.close();
    }
}
