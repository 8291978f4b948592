package ironwind.net;

import io.netty.channel.IoEventLoop;
import ironwind.config.Address;
import ironwind.config.RouterConfig;
import ironwind.idle.MemoryBudget;
import ironwind.model.Customer;
import ironwind.model.Host.DiscoveryState;
import ironwind.model.HostEntry;
import ironwind.model.Inbound;
import ironwind.model.Method;
import ironwind.model.Moment;
import ironwind.model.Outbound;
import ironwind.model.Span;
import ironwind.pg.Encoder;
import ironwind.pg.Row;
import ironwind.pg.Statement;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.IntConsumer;

/**
 * Plays RPCs through all of the router before it says that it is ready, so that what serves the
 * first clients is loaded and compiled: on a part of a core that takes seconds, in which they would
 * wait. It has a module, a task and connections of its own, and its only hosts are the router's own
 * door, which knows its requests by their ids.
 */
final class Warmup {
    /** By then what serves an RPC has run as often as the JVM wants before it compiles it. */
    private static final int RPCS = 150;

    private static final int AT_ONCE = 4;

    /** However slow the machine is, clients are not kept waiting for longer. */
    private static final Span LONGEST = Span.ofMillis(4_000);

    private static final int MOST_SOCKETS = 16;

    /** No limit is to bind here. */
    private static final long REHEARSAL_BYTES = 1 << 24;

    /**
     * Hosts by id; the first is the primary. So many that none is taken for silent while all is
     * still slow.
     */
    private static final List<String> HOSTS = List.of("a", "b", "c", "d", "e", "f");

    private final Timers timers;
    private final RouterConfig facts;
    private final SplittableRandom random;
    private final HostConnections hosts;
    private final LogicTask task;
    private final Set<String> ids = new HashSet<>();
    private final IntConsumer done;
    private int begun;
    private boolean over;

    /** {@code done} is told how many RPCs were played. */
    Warmup(
            IoEventLoop loop,
            Timers timers,
            LoopSocket.Buffers buffers,
            RouterConfig facts,
            Function<Outbound, Inbound> module,
            int most,
            IntConsumer done) {
        this.timers = timers;
        this.facts = facts.withConnectTimeout(LONGEST);
        this.random = new SplittableRandom(facts.seed());
        this.done = done;
        Counters counters = new Counters();
        Log log = new Log(new PrintStream(OutputStream.nullOutputStream()));
        this.hosts =
                new HostConnections(
                        loop,
                        timers,
                        buffers,
                        this.facts,
                        new MemoryBudget(REHEARSAL_BYTES),
                        Math.min(MOST_SOCKETS, most),
                        counters,
                        log);
        this.task = new LogicTask(timers, this.facts, module, hosts, counters, log);
        timers.after(LONGEST, this::end);
    }

    /** Begins, with the router's own address as that of all hosts. */
    void start(Address door) {
        List<HostEntry> list =
                HOSTS.stream()
                        .map(
                                id ->
                                        new HostEntry(
                                                id,
                                                0,
                                                0,
                                                0,
                                                DiscoveryState.READY,
                                                1,
                                                Moment.NEVER,
                                                id.equals(HOSTS.get(0))))
                        .toList();
        task.listed(true, list, () -> HOSTS.forEach(id -> hosts.locate(id, door)));
        for (int i = 0; i < AT_ONCE; i++) {
            next();
        }
    }

    private void next() {
        if (over) {
            return;
        } else if (begun == RPCS) {
            end();
            return;
        }
        List<Method> methods = facts.deployment().methods();
        Method method = methods.get(begun % methods.size());
        Customer customer =
                facts.deployment().customers().isEmpty()
                        ? null
                        : facts.deployment().customers().get(0);
        String id = "rehearsal-" + Long.toHexString(random.nextLong());
        ids.add(id);
        begun++;
        long waits = method.deadline().us() / 1_000;
        Statement statement =
                Statement.parse(
                        "/* id="
                                + id
                                + ",c="
                                + method.index()
                                + ",d="
                                + waits
                                + ",k="
                                + id
                                + ",cluster=0 */ SELECT val FROM state WHERE uid = '"
                                + id
                                + "'");
        task.arrived(
                new Exchange(statement, () -> timers.soon(this::next)),
                new LogicTask.Asked(
                        id,
                        method,
                        customer,
                        0,
                        statement.rowKey(),
                        Span.ofMillis(waits),
                        0,
                        false,
                        Span.ZERO,
                        false));
    }

    /** What a host would answer to a request of the rehearsal; null to any other. */
    byte[] answerTo(Statement statement) {
        if (!ids.contains(statement.attributes().getOrDefault("id", ""))) {
            return null;
        }
        return Encoder.row(
                Row.ofText("val", statement.rowKey()),
                Map.of("applied_ms", Long.toString(System.currentTimeMillis())));
    }

    private void end() {
        if (!over) {
            over = true;
            hosts.stop();
            done.accept(begun);
        }
    }
}
