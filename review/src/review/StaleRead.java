package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
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
 * Sessions write, get their ok, and read back through the same router. With trouble, two replicas in
 * turn are listed as draining, die, and are replaced by new ones that start from an older copy.
 */
final class StaleRead {
    private static final int REPLICA_LAG_MS = 10;
    private static final int RUN_MS = 45_000;
    private static final int CLIENTS = 40;

    /** How much faster than real time a host that is behind applies the log. */
    private static final double APPLY_SPEED = 2;

    private final Bench bench;

    /** The log: commits by session, by time. */
    private final Map<String, TreeMap<Long, Integer>> log = new ConcurrentHashMap<>();

    /** Commit times by idempotency key: the group drops a repeat. */
    private final Map<String, Long> applied = new ConcurrentHashMap<>();

    private final AtomicLong ids = new AtomicLong(0x51a1e000L);
    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong stale = new AtomicLong();
    private final AtomicLong unserved = new AtomicLong();
    private final AtomicLong writes = new AtomicLong();

    private StaleRead(Bench bench) {
        this.bench = bench;
    }

    public static void main(String[] args) {
        Bench.run(bench -> new StaleRead(bench).play());
    }

    /** The position of one host: up to where it has applied the log, in Unix milliseconds. */
    private interface Position {
        long at(long nowMs);
    }

    private Host host(String id, boolean primary, Position position) throws Exception {
        String role = primary ? "primary" : "replica";
        QueryHandler handler =
                (connection, sql, number) -> {
                    boolean write = sql.contains("INSERT");
                    int workMs = 52 + ThreadLocalRandom.current().nextInt(write ? 80 : 38);
                    bench.timers.schedule(
                            () -> {
                                byte[] answer =
                                        !write
                                                ? read(connection.host, sql, position, role)
                                                : primary
                                                        ? write(sql)
                                                        : Bench.error("25006", "role", role);
                                connection.write(answer);
                            },
                            workMs,
                            TimeUnit.MILLISECONDS);
                };
        Host host = bench.new Host(id, 0, handler);
        host.loadReport =
                () ->
                        "x0="
                                + position.at(Bench.now()) / 1000
                                + "."
                                + String.format("%03d", position.at(Bench.now()) % 1000)
                                + ",x1="
                                + (primary ? 1 : 0)
                                + ",busy_reqs=1,cpu_share=0.3";
        return host;
    }

    private byte[] write(String sql) {
        String session = Bench.rowKey(sql);
        int value = Integer.parseInt(sql.substring(sql.indexOf("\\x") + 2, sql.lastIndexOf('\'')));
        String key = Bench.attributes(sql).get("k");
        long commit =
                applied.computeIfAbsent(
                        key,
                        k -> {
                            TreeMap<Long, Integer> commits =
                                    log.computeIfAbsent(session, s -> new TreeMap<>());
                            synchronized (commits) {
                                long at = Bench.now();
                                commits.put(at, value);
                                return at;
                            }
                        });
        return Bench.row(
                Integer.toString(value), "role", "primary", "applied_ms", Long.toString(commit + 1));
    }

    private byte[] read(Host host, String sql, Position position, String role) {
        long at = position.at(Bench.now());
        TreeMap<Long, Integer> commits = log.get(Bench.rowKey(sql));
        int value = 0;
        if (commits != null) {
            synchronized (commits) {
                Map.Entry<Long, Integer> last = commits.floorEntry(at);
                value = last == null ? 0 : last.getValue();
            }
        }
        return Bench.row(
                value + " from " + host.id + " at " + (at - bench.startMs),
                "role",
                role,
                "applied_ms",
                Long.toString(at));
    }

    private boolean play() throws Exception {
        List<Host> replicas = new ArrayList<>();
        Host primary = host("s-0", true, now -> now);
        List<Entry> entries = new ArrayList<>(List.of(new Entry(primary, "Ready", 0, "primary")));
        for (int i = 1; i <= 5; i++) {
            Host replica = host("s-" + i, false, now -> now - REPLICA_LAG_MS);
            replicas.add(replica);
            entries.add(new Entry(replica, "Ready", 0, "replica"));
        }
        Discovery discovery = bench.new Discovery(entries.toArray(new Entry[0]));
        Router router = bench.new Router(Sites.acervoPoa(2), discovery, 512);
        long until = Bench.now() + RUN_MS;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Thread client = Bench.daemon(() -> client(router, until));
            client.start();
            clients.add(client);
        }
        if (bench.trouble) {
            Thread.sleep(8_000);
            replace(discovery, replicas.get(0), "s-6");
            Thread.sleep(3_000);
            replace(discovery, replicas.get(1), "s-7");
        }
        for (Thread client : clients) {
            client.join(RUN_MS);
        }
        bench.say(
                "writes ok "
                        + writes
                        + ", session reads ok "
                        + reads
                        + ", of these without the session's own write "
                        + stale
                        + ", not served "
                        + unserved);
        if (reads.get() < 500 || writes.get() < 300) {
            throw new IllegalStateException("too little was served to judge");
        }
        return stale.get() == 0;
    }

    /** Listed as draining, dead 1.5 s later; the new one starts 5 s after that, from a copy 5 s old. */
    private void replace(Discovery discovery, Host host, String successorId) throws Exception {
        discovery.change(new Entry(host, "Terminating", 0, "replica"));
        Thread.sleep(1_500);
        host.close();
        discovery.change(new Entry(host, "Gone", 0, "replica"));
        Thread.sleep(5_000);
        long started = Bench.now();
        long copy = started - 5_000;
        Host successor =
                host(
                        successorId,
                        false,
                        now ->
                                Math.min(
                                        now - REPLICA_LAG_MS,
                                        copy + (long) (APPLY_SPEED * (now - started))));
        bench.record(successorId + " starts from a copy 5 s old");
        Thread.sleep(500);
        discovery.change(new Entry(successor, "Ready", started, "replica"));
    }

    /** Session after session: a write, its ok, then reads that have to see it. */
    private void client(Router router, long until) {
        try (Client client = bench.new Client(router)) {
            Thread.sleep(ThreadLocalRandom.current().nextInt(500));
            while (Bench.now() < until) {
                String session = "u" + Long.toHexString(ids.incrementAndGet());
                for (int value = 1; value <= 3 && Bench.now() < until; value++) {
                    String writeId = Long.toHexString(ids.incrementAndGet());
                    client.send(
                            "/* id="
                                    + writeId
                                    + ",c=gravar-foto,t=foto-pampa,d=4000,k=key"
                                    + writeId
                                    + ",cluster=0 */ INSERT INTO state (uid, val) VALUES ('"
                                    + session
                                    + "', '\\x"
                                    + value
                                    + "') RETURNING val");
                    Answer written = client.receive(6_000);
                    bench.record("write " + writeId + " " + session + " " + value + ": " + written);
                    if (!written.kind.equals("ok")) {
                        unserved.incrementAndGet();
                        break;
                    }
                    writes.incrementAndGet();
                    for (int i = 0; i < 2; i++) {
                        Thread.sleep(110 + ThreadLocalRandom.current().nextInt(610));
                        read(client, session, value);
                    }
                }
            }
        } catch (Exception e) {
            bench.record("client ended: " + e);
        }
    }

    private void read(Client client, String session, int expected) throws Exception {
        String id = Long.toHexString(ids.incrementAndGet());
        client.send(
                "/* id="
                        + id
                        + ",c=ver-proprio,t=lente-sul,d=1500,cluster=0 */ SELECT val FROM state WHERE"
                        + " uid = '"
                        + session
                        + "'");
        Answer answer = client.receive(3_000);
        if (!answer.kind.equals("ok")) {
            unserved.incrementAndGet();
            bench.record("read " + id + " " + session + ": " + answer);
            return;
        }
        reads.incrementAndGet();
        boolean old = Integer.parseInt(answer.value.split(" ")[0]) < expected;
        if (old) {
            stale.incrementAndGet();
        }
        bench.record(
                (old ? "STALE read " : "read ")
                        + id
                        + " "
                        + session
                        + ", its last ok write "
                        + expected
                        + ": "
                        + answer);
    }
}
