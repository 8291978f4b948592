package rig;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * A planned restart: SIGTERM comes while clients that sent many commands at once still read the
 * answers, each at a steady rate that leaves time before SIGKILL. How much of the answers the
 * operating system holds differs from machine to machine, so the clients ask for different
 * amounts.
 */
final class CutAnswers extends Case {
    private static final int VALUE_BYTES = 65_536;
    private static final int FEWEST_REQUESTS = 48;
    private static final int MOST_REQUESTS = 108;
    private static final int STEP = 2;
    private static final String METHOD = "own-game-read";
    private static final long TIME_MS = 2_000;

    /** SIGKILL comes no sooner than the longest deadline, 3 s here, plus 0.7 s after SIGTERM. */
    private static final long KILL_MS = 3_700;

    /** When the clients send, and by when each has read everything, after SIGTERM. */
    private static final long SEND_MS = 1_200;

    private static final long READ_BY_MS = 3_100;

    private final List<Reader> readers = Collections.synchronizedList(new ArrayList<>());

    public static void main(String[] arguments) throws IOException {
        new CutAnswers().run(arguments);
    }

    @Override
    void play() throws IOException {
        DiscoveryStandIn discovery = new DiscoveryStandIn(record);
        List<HostStandIn> hosts = new ArrayList<>();
        for (String id : List.of("s-a1", "s-b2", "s-c3")) {
            HostStandIn host = new HostStandIn(id, hosts.isEmpty() ? "primary" : "replica", record);
            host.serviceMs = 3;
            discovery.set(host, 0, "Ready", 0, host.role);
            hosts.add(host);
        }
        Settings settings = Settings.boards();
        try (RouterProcess router = RouterProcess.start(settings, discovery, folder, record)) {
            for (int requests = FEWEST_REQUESTS; requests <= MOST_REQUESTS; requests += STEP) {
                readers.add(new Reader(router.port, requests));
            }
            long termAt = now();
            if (trouble) {
                router.terminate();
            }
            Sockets.sleep(SEND_MS);
            CountDownLatch done = new CountDownLatch(readers.size());
            for (Reader reader : readers) {
                Sockets.daemon("client", () -> {
                    reader.run(termAt);
                    done.countDown();
                });
            }
            awaitAll(done);
            for (Reader reader : readers) {
                List<String> unanswered = reader.ids.subList(reader.answered, reader.ids.size());
                long lost = hosts.stream().flatMap(host -> host.sends().stream())
                        .map(HostStandIn.Send::id).filter(unanswered::contains).distinct().count();
                if (lost > 0 && reader.endedMs < KILL_MS) {
                    broken(lost + " of " + reader.ids.size() + " requests of a client ran and got"
                            + " no whole answer: it read to the end of the connection, which the"
                            + " router had ended, by " + reader.endedMs + " ms after SIGTERM");
                }
            }
        }
    }

    private static void awaitAll(CountDownLatch done) throws IOException {
        try {
            require(done.await(20, java.util.concurrent.TimeUnit.SECONDS), "clients did not end");
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** A client that sends its requests at once and reads the answers at a steady rate. */
    private final class Reader {
        private final Caller caller;
        private final List<String> ids = new ArrayList<>();
        private volatile int answered;
        private volatile long endedMs;

        Reader(int port, int requests) throws IOException {
            caller = new Caller(port, 32_768);
            require(caller.ask("", 1_000).end() == Caller.End.SERVED, "no empty query");
            for (int i = 0; i < requests; i++) {
                ids.add(Caller.newId());
            }
        }

        void run(long termAt) throws IOException {
            caller.limitRate((int) (ids.size() * VALUE_BYTES / (READ_BY_MS - SEND_MS)));
            String[] commands = ids.stream()
                    .map(id -> Caller.read(id, METHOD, TIME_MS, 0,
                            "big-" + VALUE_BYTES + "-" + id))
                    .toArray(String[]::new);
            caller.send(commands);
            record.add("client sends " + commands.length + " requests");
            Caller.Answer answer = caller.next(TIME_MS + 3_000);
            while (answer.end() != Caller.End.CLOSED && answer.end() != Caller.End.NONE) {
                answered++;
                answer = answered == ids.size() ? new Caller.Answer(Caller.End.CLOSED, 0, null,
                        "all answered") : caller.next(TIME_MS + 3_000);
            }
            endedMs = now() - termAt;
            record.add("client of " + ids.size() + ": " + answered + " answers, " + answer);
        }
    }
}
