package review;

import java.util.ArrayList;
import java.util.List;
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
 * Clients send 16 commands at once, a write and then reads whose values have almost 64 KiB. With
 * trouble, the primary goes silent, and a replica takes over 4 s later.
 */
final class HeldAnswers {
    /** 128 clients with 16 commands each 2.5 s are 819 requests a second. */
    private static final int CLIENTS = 128;

    private static final int COMMANDS = 16;
    private static final int PERIOD_MS = 2_500;
    private static final int WRITE_DEADLINE_MS = 3_000;
    private static final int READ_DEADLINE_MS = 1_200;
    private static final int QUIET_MS = 6_000;
    private static final int TAKE_OVER_MS = 4_000;
    private static final int LIST_LATE_MS = 2_000;
    private static final int RUN_MS = 20_000;
    private static final int WORK_MS = 50;

    /** How long after its time a request is waited for; the pages ask for half a second. */
    private static final int PATIENCE_MS = 5_000;

    private static final String VALUE = "v".repeat(64_000);

    private final Bench bench;
    private final AtomicLong ids = new AtomicLong(0x5be20000L);
    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();

    /** Requests without an answer on a connection that is still open. */
    private final AtomicLong lost = new AtomicLong();

    /** Connections that the router ended before it had answered all requests on them. */
    private final AtomicLong ended = new AtomicLong();

    private volatile Host primary;
    private volatile Host silent;

    /** Since when there is no primary, and all positions stand still; 0 while there is one. */
    private volatile long noPrimarySince;

    private HeldAnswers(Bench bench) {
        this.bench = bench;
    }

    public static void main(String[] args) {
        Bench.run(bench -> new HeldAnswers(bench).play());
    }

    private Host host(String id) throws Exception {
        QueryHandler handler =
                (connection, sql, number) ->
                        bench.timers.schedule(
                                () -> answer(connection, sql), WORK_MS, TimeUnit.MILLISECONDS);
        return bench.new Host(id, 0, handler);
    }

    private void answer(Bench.HostConnection connection, String sql) {
        Host host = connection.host;
        if (host == silent) {
            return;
        }
        String role = host == primary ? "primary" : "replica";
        long present = noPrimarySince > 0 ? noPrimarySince : Bench.now();
        String position = Long.toString(present - 5);
        boolean write = sql.contains("INSERT");
        connection.write(
                write && host != primary
                        ? Bench.error("25006", "role", role, "applied_ms", position)
                        : Bench.row(write ? "\u009f" : VALUE, "role", role, "applied_ms", position));
    }

    private boolean play() throws Exception {
        List<Host> hosts = new ArrayList<>();
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            hosts.add(host("s-" + i));
            entries.add(new Entry(hosts.get(i), "Ready", 0, i == 0 ? "primary" : "replica"));
        }
        primary = hosts.get(0);
        Discovery discovery = bench.new Discovery(entries.toArray(new Entry[0]));
        Router router = bench.new Router(Sites.boardsNz(1), discovery, 1024);
        long until = Bench.now() + RUN_MS;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int offset = PERIOD_MS * i / CLIENTS;
            Thread client = Bench.daemon(() -> client(router, offset, until));
            client.start();
            clients.add(client);
        }
        Thread.sleep(QUIET_MS);
        report("before");
        if (bench.trouble) {
            hosts.get(0).hangs = true;
            silent = hosts.get(0);
            primary = null;
            noPrimarySince = Bench.now();
            bench.record("the primary s-0 goes silent: no reset, no answer");
            Thread.sleep(TAKE_OVER_MS);
            primary = hosts.get(1);
            noPrimarySince = 0;
            bench.record("s-1 takes over");
            Thread.sleep(LIST_LATE_MS);
            discovery.change(new Entry(hosts.get(0), "Ready", 0, "replica"));
            discovery.change(new Entry(hosts.get(1), "Ready", 0, "primary"));
        }
        for (Thread client : clients) {
            client.join(RUN_MS + 60_000);
        }
        report("at the end");
        boolean answers = answersEmptyQuery(router) || answersEmptyQuery(router);
        bench.say(
                "the router's process is "
                        + (router.process.isAlive() ? "alive" : "gone")
                        + "; an empty query on a new connection is "
                        + (answers ? "answered" : "not answered within 5 s"));
        if (served.get() < 2_000) {
            throw new IllegalStateException("too little was served to judge");
        }
        return lost.get() == 0 && answers;
    }

    private void report(String when) {
        bench.say(
                when
                        + ": requests "
                        + sent
                        + ", ok "
                        + served
                        + ", refused "
                        + refused
                        + ", failed "
                        + failed
                        + ", no answer "
                        + lost
                        + ", connections ended by the router "
                        + ended);
    }

    private boolean answersEmptyQuery(Router router) {
        try (Client client = bench.new Client(router, 0, 5_000)) {
            client.socket.setSoTimeout(5_000);
            client.send("");
            return Bench.read(client.in, false).type() == 'I';
        } catch (Exception e) {
            bench.record("empty query: " + e);
            return false;
        }
    }

    private void client(Router router, int offset, long until) {
        try {
            Thread.sleep(offset);
            Client client = null;
            long next = Bench.now();
            while (next < until) {
                Thread.sleep(Math.max(0, next - Bench.now()));
                if (client == null) {
                    client = bench.closing(bench.new Client(router, 0, 10_000));
                }
                if (!exchange(client)) {
                    return;
                }
                next = Math.max(next + PERIOD_MS, Bench.now());
            }
        } catch (Exception e) {
            bench.record("client could not connect: " + e);
        }
    }

    /** Sends the commands and reads their answers; false once the connection is of no use. */
    private boolean exchange(Client client) throws Exception {
        String[] statements = new String[COMMANDS];
        String[] names = new String[COMMANDS];
        for (int i = 0; i < COMMANDS; i++) {
            names[i] = Long.toHexString(ids.incrementAndGet());
            statements[i] =
                    i == 0
                            ? "/* id="
                                    + names[i]
                                    + ",c=move-write,t=go-section,d="
                                    + WRITE_DEADLINE_MS
                                    + ",k=key"
                                    + names[i]
                                    + ",cluster=0 */ INSERT INTO state (uid, val) VALUES ('u"
                                    + names[i]
                                    + "', '\\x9f') RETURNING val"
                            : "/* id="
                                    + names[i]
                                    + ",c=archive-read,t=chess-section,d="
                                    + READ_DEADLINE_MS
                                    + ",cluster=0 */ SELECT val FROM state WHERE uid = 'u"
                                    + names[i]
                                    + "'";
        }
        long sentAt = Bench.now();
        client.send(statements);
        sent.addAndGet(COMMANDS);
        for (int i = 0; i < COMMANDS; i++) {
            long last = sentAt + WRITE_DEADLINE_MS + PATIENCE_MS;
            Answer answer = client.receive((int) Math.max(1, last - Bench.now()));
            bench.record(names[i] + " " + (i == 0 ? "write" : "read") + ": " + answer.kind);
            if (answer.kind.equals("none")) {
                if (answer.value.equals("SocketTimeoutException")) {
                    lost.addAndGet(COMMANDS - i);
                    bench.record(
                            "LOST "
                                    + names[i]
                                    + " and those behind it: sent "
                                    + (Bench.now() - sentAt)
                                    + " ms ago, no answer, connection open");
                } else {
                    ended.incrementAndGet();
                }
                return false;
            }
            AtomicLong count =
                    answer.kind.equals("ok") ? served : answer.kind.equals("refused") ? refused : failed;
            count.incrementAndGet();
        }
        return true;
    }
}
