package ironwind.lab;

import ironwind.lab.AsyncClient.Outcome;
import ironwind.standin.EventLoop;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

/**
 * A worker process that holds many client connections to routers. It reads the commands {@code open
 * N}, {@code wake MS}, {@code slow N BYTES}, {@code count} and {@code quit} from standard input,
 * one per line, and replies to each except {@code quit} with one line of {@code name=number} pairs
 * on standard output.
 */
public final class ClientWorker {
    /** Connections that may be connecting or awaiting their first response at the same time. */
    private static final int MAX_CONNECTING = 128;

    /** Connections per source address: each address has its own range of ephemeral ports. */
    private static final int CONNECTIONS_PER_ADDRESS = 4_000;

    private static final int PIPELINED_REQUESTS = 8;

    /**
     * Slow readers that start to send per second. The rate is low because the benchmark measures
     * the effect of unread responses, not that of a burst of requests.
     */
    private static final int SLOW_READERS_PER_SECOND = 200;

    private static final int SLOW_READER_BUFFER_BYTES = 4_096;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long DEADLINE_MS = 30_000;

    private final EventLoop loop = new EventLoop("client-worker");
    private final List<InetSocketAddress> routers;
    private final int workerNumber;
    private final List<AsyncClient> clients = new ArrayList<>();
    private int nextRequest;
    private int connectionsStarted;

    private ClientWorker(int workerNumber, List<InetSocketAddress> routers) throws IOException {
        this.workerNumber = workerNumber;
        this.routers = routers;
    }

    /**
     * Runs the worker until {@code quit} or the end of standard input. The arguments are a number
     * unique to this worker, which selects its source addresses and request ids, and the routers'
     * ports.
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        List<InetSocketAddress> routers = new ArrayList<>();
        for (int i = 1; i < args.length; i++) {
            routers.add(new InetSocketAddress("127.0.0.1", Integer.parseInt(args[i])));
        }
        ClientWorker worker = new ClientWorker(Integer.parseInt(args[0]), routers);
        BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = in.readLine();
                line != null && !line.equals("quit");
                line = in.readLine()) {
            String[] words = line.split(" ");
            System.out.println(
                    switch (words[0]) {
                        case "open" -> worker.open(Integer.parseInt(words[1]), true);
                        case "wake" -> worker.sendBurst(Long.parseLong(words[1]));
                        case "slow" -> worker.openSlowReaders(Integer.parseInt(words[1]), words[2]);
                        default -> worker.countOpen();
                    });
        }
    }

    private static String formatOutcomes(Map<Outcome, Integer> outcomes, long nanos) {
        StringBuilder line = new StringBuilder();
        for (Outcome outcome : Outcome.values()) {
            line.append(outcome).append('=').append(outcomes.getOrDefault(outcome, 0)).append(' ');
        }
        return line.append("ms=").append(nanos / 1_000_000).toString();
    }

    /**
     * Opens connections; with {@code sendRequest} each sends one read and waits for its outcome.
     */
    private String open(int count, boolean sendRequest) throws InterruptedException {
        Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);
        CountDownLatch done = new CountDownLatch(count);
        long startNanos = System.nanoTime();
        int[] remaining = {count};
        AsyncClient.Listener listener =
                new AsyncClient.Listener() {
                    @Override
                    public void ready(AsyncClient client) {
                        if (sendRequest) {
                            client.sendRead(nextId(), "k", DEADLINE_MS, 0);
                        } else {
                            finish(Outcome.OK);
                        }
                    }

                    @Override
                    public void completed(AsyncClient client, Outcome outcome, long sentNanos) {
                        finish(outcome);
                    }

                    @Override
                    public void closedWhileIdle(AsyncClient client) {
                        finish(Outcome.CLOSED);
                    }

                    private void finish(Outcome outcome) {
                        if (done.getCount() > 0) {
                            outcomes.merge(outcome, 1, Integer::sum);
                            done.countDown();
                            if (remaining[0] > 0) {
                                remaining[0]--;
                                clients.add(
                                        connect(this, sendRequest ? 0 : SLOW_READER_BUFFER_BYTES));
                            }
                        }
                    }
                };
        loop.execute(
                () -> {
                    for (int i = 0; i < MAX_CONNECTING && remaining[0] > 0; i++) {
                        remaining[0]--;
                        clients.add(connect(listener, sendRequest ? 0 : SLOW_READER_BUFFER_BYTES));
                    }
                });
        done.await();
        return formatOutcomes(outcomes, System.nanoTime() - startNanos);
    }

    private String nextId() {
        return "c" + workerNumber + "-" + nextRequest++;
    }

    private AsyncClient connect(AsyncClient.Listener listener, int receiveBuffer) {
        int address = connectionsStarted / CONNECTIONS_PER_ADDRESS;
        InetSocketAddress from =
                new InetSocketAddress("127." + (16 + workerNumber) + ".0." + (1 + address), 0);
        return AsyncClient.connect(
                loop,
                from,
                routers.get(connectionsStarted++ % routers.size()),
                listener,
                receiveBuffer);
    }

    /**
     * Sends a read on every idle connection at once, and waits until each was answered or closed.
     * {@code sent_ms} in the reply is the time that sending them took.
     */
    private String sendBurst(long deadlineMs) throws InterruptedException {
        Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);
        CountDownLatch sent = new CountDownLatch(1);
        CountDownLatch[] done = new CountDownLatch[1];
        long[] sendNanos = {0};
        long startNanos = System.nanoTime();
        AsyncClient.Listener listener =
                (client, outcome, sentNanos) -> {
                    outcomes.merge(outcome, 1, Integer::sum);
                    done[0].countDown();
                };
        loop.execute(
                () -> {
                    List<AsyncClient> idle = clients.stream().filter(AsyncClient::isIdle).toList();
                    done[0] = new CountDownLatch(idle.size());
                    for (AsyncClient client : idle) {
                        client.setListener(listener);
                        client.sendRead(nextId(), "k", deadlineMs, 0);
                    }
                    sendNanos[0] = System.nanoTime() - startNanos;
                    sent.countDown();
                });
        sent.await();
        done[0].await();
        return formatOutcomes(outcomes, System.nanoTime() - startNanos)
                + " sent_ms="
                + sendNanos[0] / 1_000_000;
    }

    /**
     * Opens connections and schedules on each a pipeline of requests for large values, whose
     * responses are never read. Returns before the requests are sent.
     */
    private String openSlowReaders(int count, String bytes) throws InterruptedException {
        String line = open(count, false);
        CountDownLatch scheduled = new CountDownLatch(1);
        loop.execute(
                () -> {
                    long sendAt = System.nanoTime();
                    for (AsyncClient client :
                            clients.subList(clients.size() - count, clients.size())) {
                        sendAt += NANOS_PER_SECOND / SLOW_READERS_PER_SECOND;
                        loop.schedule(
                                sendAt,
                                () -> {
                                    if (client.isIdle()) {
                                        client.setListener((ignored, outcome, sentNanos) -> {});
                                        client.sendReadsPaused(
                                                nextId(),
                                                "big-" + bytes,
                                                DEADLINE_MS,
                                                PIPELINED_REQUESTS);
                                    }
                                });
                    }
                    scheduled.countDown();
                });
        scheduled.await();
        return line;
    }

    private String countOpen() throws InterruptedException {
        CountDownLatch counted = new CountDownLatch(1);
        long[] open = {0};
        loop.execute(
                () -> {
                    open[0] = clients.stream().filter(AsyncClient::isOpen).count();
                    counted.countDown();
                });
        counted.await();
        return "open=" + open[0];
    }
}
