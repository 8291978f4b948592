package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import review.Bench.Answer;
import review.Bench.Client;
import review.Bench.Discovery;
import review.Bench.Entry;
import review.Bench.Host;
import review.Bench.QueryHandler;
import review.Bench.Router;

/**
 * Each second some clients send 16 reads at once. With trouble, a fifth of the hosts' answers have a
 * second copy right behind, written 1 ms later and only if nothing else has come on the connection.
 * Every value names the key that it belongs to.
 */
final class SecondCopy {
    private static final int RUN_MS = 50_000;
    private static final int CLIENTS = 24;
    private static final int COMMANDS = 16;
    private static final int PERIOD_MS = 1_000;
    private static final int COPIES_PERCENT = 20;
    private static final int COPY_AFTER_US = 1_000;
    private static final String PADDING = "p".repeat(32_000);

    private final Bench bench;
    private final AtomicLong ids = new AtomicLong(0x9b1f0000L);
    private final AtomicLong copies = new AtomicLong();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong foreign = new AtomicLong();
    private final AtomicLong unserved = new AtomicLong();

    private SecondCopy(Bench bench) {
        this.bench = bench;
    }

    public static void main(String[] args) {
        Bench.run(bench -> new SecondCopy(bench).play());
    }

    private Host host(String id, String role) throws Exception {
        QueryHandler handler =
                (connection, sql, number) ->
                        bench.timers.schedule(
                                () -> {
                                    String key = Bench.rowKey(sql);
                                    byte[] answer =
                                            Bench.row(
                                                    "value of " + key + " " + PADDING,
                                                    "role",
                                                    role,
                                                    "applied_ms",
                                                    Long.toString(Bench.now() - 1));
                                    connection.write(answer);
                                    bench.record(id + "/" + connection.id + " answers " + key);
                                    if (bench.trouble
                                            && ThreadLocalRandom.current().nextInt(100)
                                                    < COPIES_PERCENT) {
                                        bench.timers.schedule(
                                                () -> copy(connection, number, key, answer),
                                                COPY_AFTER_US,
                                                TimeUnit.MICROSECONDS);
                                    }
                                },
                                20 + ThreadLocalRandom.current().nextInt(20),
                                TimeUnit.MILLISECONDS);
        return bench.new Host(id, 0, handler);
    }

    private void copy(Bench.HostConnection connection, long number, String key, byte[] answer) {
        if (connection.queries == number) {
            copies.incrementAndGet();
            connection.write(answer);
            bench.record(
                    connection.host.id
                            + "/"
                            + connection.id
                            + " second copy right behind, of the answer to "
                            + key);
        }
    }

    private boolean play() throws Exception {
        Discovery discovery =
                bench.new Discovery(
                        new Entry(host("s-0", "primary"), "Ready", 0, "primary"),
                        new Entry(host("s-1", "replica"), "Ready", 0, "replica"),
                        new Entry(host("s-2", "replica"), "Ready", 0, "replica"));
        Router router = bench.new Router(Sites.boardsNz(1), discovery, 1024);
        long until = Bench.now() + RUN_MS;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Thread client = Bench.daemon(() -> client(router, until));
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) {
            client.join(2L * RUN_MS);
        }
        bench.say(
                "second copies "
                        + copies
                        + ", served with the own value "
                        + served
                        + ", with that of another request "
                        + foreign
                        + ", not served "
                        + unserved);
        if (served.get() < 2_000) {
            throw new IllegalStateException("too little was served to judge");
        }
        return foreign.get() == 0;
    }

    private void client(Router router, long until) {
        try (Client client = bench.new Client(router)) {
            while (Bench.now() < until) {
                Thread.sleep(PERIOD_MS - Bench.now() % PERIOD_MS);
                String[] keys = new String[COMMANDS];
                String[] statements = new String[COMMANDS];
                for (int i = 0; i < COMMANDS; i++) {
                    long id = ids.incrementAndGet();
                    keys[i] = "u" + Long.toHexString(id * 7_919);
                    statements[i] =
                            "/* id="
                                    + Long.toHexString(id)
                                    + ",c=archive-read,t=go-section,d=1200,cluster=0 */ SELECT val"
                                    + " FROM state WHERE uid = '"
                                    + keys[i]
                                    + "'";
                }
                client.send(statements);
                for (String key : keys) {
                    Answer answer = client.receive(3_000);
                    String value = answer.value;
                    if (!answer.kind.equals("ok")) {
                        unserved.incrementAndGet();
                        bench.record(key + ": " + answer);
                    } else if (value.equals("value of " + key + " " + PADDING)) {
                        served.incrementAndGet();
                    } else {
                        foreign.incrementAndGet();
                        bench.record(
                                "FOREIGN the client asked for "
                                        + key
                                        + " and got ok: "
                                        + value.substring(0, Math.min(30, value.length())));
                    }
                }
            }
        } catch (Exception e) {
            bench.record("client ended: " + e);
        }
    }
}
