package ironwind.net;

import io.netty.channel.IoEventLoop;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.internal.ContextInternal;
import ironwind.Logic;
import ironwind.config.OperatorSettings;
import ironwind.config.RouterConfig;
import ironwind.idle.Limits;
import ironwind.idle.MemoryBudget;
import ironwind.model.Inbound;
import ironwind.model.Outbound;
import ironwind.model.Span;
import java.io.IOException;
import java.util.function.Function;

/** One real router, for use in a program of one's own: start it, ask its clients away, stop it. */
public final class Router {
    /**
     * PROTOCOL: SIGKILL comes no sooner after SIGTERM than the longest deadline, up to 3 s, and 0.7
     * s.
     */
    private static final long MOST_DEADLINE_MS = 3_000;

    private static final long KILLED_AFTER_MS = 700;

    /** Of that time, what answers may need to be written. */
    private static final long LAST_WRITES_MS = 300;

    /**
     * The part of that time in which clients that know the router are served on, while others take
     * over.
     */
    private static final double SERVING_PART = 0.5;

    /**
     * How long the first list is waited for before the router says it is ready with what it knew.
     */
    private static final long FIRST_LIST_MS = 2_000;

    private final RouterConfig facts;
    private final Log log;
    private final Function<Outbound, Inbound> module;
    private final Counters counters = new Counters();
    private final Limits limits;
    private final Vertx vertx;
    private final Context context;
    private boolean rehearses = true;
    private ClientConnections clients;
    private HostConnections hosts;
    private Discovery discovery;
    private LogicTask logic;

    public Router(RouterConfig facts, Log log) {
        this(facts, OperatorSettings.defaults(facts), log);
    }

    /** With what the installation's own file says. */
    public Router(RouterConfig facts, OperatorSettings installation, Log log) {
        this(
                facts,
                installation,
                log,
                outbound -> new Logic(facts.deployment(), facts.seed(), outbound));
    }

    Router(RouterConfig facts, Log log, Function<Outbound, Inbound> module) {
        this(facts, OperatorSettings.defaults(facts), log, module);
    }

    /** With another module in the place of {@link Logic}. */
    Router(
            RouterConfig facts,
            OperatorSettings installation,
            Log log,
            Function<Outbound, Inbound> module) {
        this.facts = facts;
        // More than there are descriptors for would never meet their limit, and nobody would give
        // way to a newcomer.
        int most = facts.clientLimits().maxConnections();
        this.limits = installation.clientLimits().cappedAt(most);
        if (installation.clientLimits().maxConnections() > most) {
            log.warn(
                    "connections_cut",
                    "asked",
                    installation.clientLimits().maxConnections(),
                    "most",
                    most);
        }
        this.module = module;
        this.log = log;
        this.vertx =
                Vertx.vertx(
                        new VertxOptions()
                                .setEventLoopPoolSize(1)
                                .setWorkerPoolSize(1)
                                .setInternalBlockingPoolSize(1)
                                .setFileSystemOptions(
                                        new FileSystemOptions()
                                                .setFileCachingEnabled(false)
                                                .setClassPathResolvingEnabled(false)));
        this.context = vertx.getOrCreateContext();
    }

    /** Begins to listen; the future fails where the address can't be had. */
    public Future<Void> start() {
        Promise<Void> started = Promise.promise();
        context.exceptionHandler(this::uncaught);
        vertx.exceptionHandler(this::uncaught);
        context.runOnContext(
                nothing -> {
                    MemoryBudget budget = new MemoryBudget(limits.memoryBytes());
                    Timers timers = new Timers(loop(), this::uncaught);
                    LoopSocket.Buffers buffers = new LoopSocket.Buffers();
                    IoEventLoop loop = loop();
                    hosts =
                            new HostConnections(
                                    loop,
                                    timers,
                                    buffers,
                                    facts,
                                    budget,
                                    facts.maxHostConnections(),
                                    counters,
                                    log);
                    logic = new LogicTask(timers, facts, module, hosts, counters, log);
                    discovery = new Discovery(vertx, facts, logic, hosts, counters, log);
                    clients =
                            new ClientConnections(
                                    loop,
                                    timers,
                                    buffers,
                                    facts,
                                    limits,
                                    budget,
                                    facts.maxClientConnections(),
                                    logic,
                                    counters,
                                    log);
                    Promise<Void> heard = Promise.promise();
                    // Before the door opens: what a client writes to a loop that is still loading
                    // code would lie there.
                    discovery.start(facts.initialHostList(), heard::tryComplete);
                    vertx.setTimer(FIRST_LIST_MS, timer -> heard.tryComplete());
                    context.runOnContext(later -> open(started, heard.future(), timers, buffers));
                });
        return started.future()
                .onSuccess(
                        nothing ->
                                log.info(
                                        "listening",
                                        "name",
                                        facts.name(),
                                        "address",
                                        facts.listen().ip() + ":" + clients.port()));
    }

    private IoEventLoop loop() {
        return (IoEventLoop) ((ContextInternal) context).nettyEventLoop();
    }

    private void open(
            Promise<Void> started, Future<Void> heard, Timers timers, LoopSocket.Buffers buffers) {
        Promise<Void> rehearsed = Promise.promise();
        try {
            clients.listen();
        } catch (IOException taken) {
            discovery.stop();
            started.fail(taken);
            return;
        }
        if (rehearses) {
            int most = Math.max(1, facts.maxClientConnections() / 4);
            clients.rehearse(
                    new Warmup(
                            loop(),
                            timers,
                            buffers,
                            facts,
                            module,
                            most,
                            played -> {
                                log.info("rehearsed", "rpcs", played);
                                rehearsed.tryComplete();
                            }));
        } else {
            rehearsed.complete();
        }
        started.complete();
        Future.all(rehearsed.future(), heard)
                .onSuccess(
                        both -> {
                            clients.ready();
                            log.info("ready", "name", facts.name());
                        });
    }

    /** Ready as soon as it has heard the list: for embedders whose code is warm already. */
    public Router withoutWarmup() {
        rehearses = false;
        return this;
    }

    private void uncaught(Throwable fault) {
        counters.add(Counters.Count.FAULTS);
        log.error("fault", fault);
    }

    /**
     * Takes up new facts without letting go of a connection or an RPC: the address of discovery.
     * All others hold until the next start.
     */
    public Future<Void> reload(RouterConfig next) {
        Promise<Void> done = Promise.promise();
        context.runOnContext(
                nothing -> {
                    log.info("reloaded", "discovery", next.discovery());
                    discovery.moveTo(next.discovery());
                    done.complete();
                });
        return done.future();
    }

    /**
     * Goes on serving those who know it, while others take over, then asks them away between their
     * requests, and ends when none is left. All is answered by the time at which PROTOCOL lets a
     * router be killed.
     */
    public Future<Void> drain() {
        Promise<Void> gone = Promise.promise();
        log.info("draining");
        context.runOnContext(
                nothing -> {
                    long untilKilled =
                            Math.min(MOST_DEADLINE_MS, longestDeadline()) + KILLED_AFTER_MS;
                    logic.endBy(Span.ofMillis(untilKilled - LAST_WRITES_MS));
                    vertx.setTimer(
                            (long) (SERVING_PART * untilKilled),
                            timer -> clients.dismissAll(gone::tryComplete));
                    vertx.setTimer(untilKilled - LAST_WRITES_MS / 2, timer -> gone.tryComplete());
                });
        return gone.future();
    }

    private long longestDeadline() {
        return facts.deployment().methods().stream()
                .mapToLong(method -> method.deadline().us() / 1_000)
                .max()
                .orElse(0);
    }

    /** Ends at once. */
    public Future<Void> stop() {
        Promise<Void> stopped = Promise.promise();
        context.runOnContext(
                nothing -> {
                    logic.tellUnanswered();
                    log.info("stopped", "counters", counters);
                    clients.stop();
                    discovery.stop();
                    hosts.stop();
                    vertx.close().onComplete(stopped);
                });
        return stopped.future();
    }

    /** The port it listens on, once started. */
    public int port() {
        return clients.port();
    }

    public Counters counters() {
        return counters;
    }
}
