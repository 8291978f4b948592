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
 * Sends RPCs through the whole router before it reports that it is ready, so that the code that
 * serves the first clients is loaded and compiled by then. On a fraction of a core that takes
 * seconds, for which those clients would have to wait. The warm-up has decision logic, a logic task
 * and host connections of its own. All its hosts have the address of the router itself, which
 * recognizes their requests by the ids and answers them with {@link #answerTo}.
 */
final class Warmup {
    /** Enough RPCs for the code that serves them to reach the JVM's compilation threshold. */
    private static final int RPC_COUNT = 150;

    private static final int CONCURRENCY = 4;

    /** Limits how long clients wait for the warm-up on a slow machine. */
    private static final Span TIMEOUT = Span.ofMillis(4_000);

    private static final int MAX_SOCKETS = 16;

    /** Memory budget, large enough not to limit the warm-up. */
    private static final long MEMORY_BYTES = 1 << 24;

    /**
     * Ids of the hosts; the first is the primary. There are enough of them that none is considered
     * unresponsive while answers are slow because the code is not compiled yet.
     */
    private static final List<String> HOST_IDS = List.of("a", "b", "c", "d", "e", "f");

    private final Timers timers;
    private final RouterConfig config;
    private final SplittableRandom random;
    private final HostConnectionPool hostConnections;
    private final LogicTask logicTask;
    private final Set<String> ids = new HashSet<>();
    private final IntConsumer onDone;
    private int started;
    private boolean finished;

    /**
     * Creates a warm-up and starts its timeout.
     *
     * @param logicFactory creates the decision logic
     * @param maxSockets most connections that the warm-up may open
     * @param onDone receives the number of RPCs that were started
     */
    Warmup(
            IoEventLoop loop,
            Timers timers,
            LoopSocket.Buffers buffers,
            RouterConfig config,
            Function<Outbound, Inbound> logicFactory,
            int maxSockets,
            IntConsumer onDone) {
        this.timers = timers;
        this.config = config.withConnectTimeout(TIMEOUT);
        this.random = new SplittableRandom(config.seed());
        this.onDone = onDone;
        Counters counters = new Counters();
        Log log = new Log(new PrintStream(OutputStream.nullOutputStream()));
        this.hostConnections =
                new HostConnectionPool(
                        loop,
                        timers,
                        buffers,
                        this.config,
                        new MemoryBudget(MEMORY_BYTES),
                        Math.min(MAX_SOCKETS, maxSockets),
                        false,
                        counters,
                        log);
        this.logicTask =
                new LogicTask(timers, this.config, logicFactory, hostConnections, counters, log);
        timers.schedule(TIMEOUT, this::finish);
    }

    /** Starts to send RPCs; {@code routerAddress} becomes the address of all hosts. */
    void start(Address routerAddress) {
        List<HostEntry> entries =
                HOST_IDS.stream()
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
                                                id.equals(HOST_IDS.get(0))))
                        .toList();
        logicTask.onDiscoveryUpdate(
                true,
                entries,
                () -> HOST_IDS.forEach(id -> hostConnections.setAddress(id, routerAddress)));
        for (int i = 0; i < CONCURRENCY; i++) {
            startNext();
        }
    }

    private void startNext() {
        if (finished) {
            return;
        } else if (started == RPC_COUNT) {
            finish();
            return;
        }
        List<Method> methods = config.deployment().methods();
        Method method = methods.get(started % methods.size());
        Customer customer =
                config.deployment().customers().isEmpty()
                        ? null
                        : config.deployment().customers().get(0);
        String id = "rehearsal-" + Long.toHexString(random.nextLong());
        ids.add(id);
        started++;
        long deadlineMs = method.deadline().us() / 1_000;
        Statement statement =
                Statement.parse(
                        "/* id="
                                + id
                                + ",c="
                                + method.index()
                                + ",d="
                                + deadlineMs
                                + ",k="
                                + id
                                + ",cluster=0 */ SELECT val FROM state WHERE uid = '"
                                + id
                                + "'");
        logicTask.onRpcArrived(
                new Exchange(statement, exchange -> timers.execute(this::startNext)),
                new LogicTask.RpcRequest(
                        id,
                        method,
                        customer,
                        0,
                        statement.rowKey(),
                        Span.ofMillis(deadlineMs),
                        0,
                        false,
                        Span.ZERO,
                        false));
    }

    /** Returns the answer of a host to a request of the warm-up, or null for any other request. */
    byte[] answerTo(Statement statement) {
        if (!ids.contains(statement.attributes().getOrDefault("id", ""))) {
            return null;
        }
        return Encoder.singleRowResult(
                Row.ofText("val", statement.rowKey()),
                Map.of("applied_ms", Long.toString(System.currentTimeMillis())));
    }

    private void finish() {
        if (!finished) {
            finished = true;
            hostConnections.stop();
            onDone.accept(started);
        }
    }
}
