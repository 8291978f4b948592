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

/**
 * A router. Its life cycle is {@link #start}, then {@link #drain}, then {@link #stop}; all three
 * return at once, and their futures tell when they are done.
 */
public final class Router {
    /**
     * By the protocol specification (PROTOCOL), SIGKILL follows SIGTERM no sooner than after the
     * longest deadline, of which at most this much counts, plus {@link #KILL_GRACE_MS}.
     */
    private static final long MAX_DEADLINE_MS = 3_000;

    private static final long KILL_GRACE_MS = 700;

    /** Part of the time until SIGKILL that is left for writing the last answers. */
    private static final long FINAL_WRITE_MS = 300;

    /**
     * Fraction of the time until SIGKILL in which connected clients are still served, while other
     * routers take over.
     */
    private static final double SERVING_FRACTION = 0.5;

    /**
     * How long to wait for the first host list. After that the router becomes ready with the list
     * in its configuration.
     */
    private static final long FIRST_LIST_TIMEOUT_MS = 2_000;

    private final RouterConfig config;
    private final Log log;
    private final Function<Outbound, Inbound> logicFactory;
    private final Counters counters = new Counters();
    private final Limits limits;
    private final Vertx vertx;
    private final Context context;
    private boolean warmupEnabled = true;
    private ClientConnections clientConnections;
    private HostConnectionPool hostConnections;
    private Discovery discovery;
    private LogicTask logicTask;

    /** Creates a router with the default settings. */
    public Router(RouterConfig config, Log log) {
        this(config, OperatorSettings.defaults(config), log);
    }

    /** Creates a router with the operator's settings. */
    public Router(RouterConfig config, OperatorSettings settings, Log log) {
        this(
                config,
                settings,
                log,
                outbound -> new Logic(config.deployment(), config.seed(), outbound));
    }

    /** Creates a router with the default settings and other decision logic. */
    Router(RouterConfig config, Log log, Function<Outbound, Inbound> logicFactory) {
        this(config, OperatorSettings.defaults(config), log, logicFactory);
    }

    /**
     * Creates a router with the operator's settings and other decision logic.
     *
     * @param logicFactory creates the decision logic, which is {@link Logic} otherwise
     */
    Router(
            RouterConfig config,
            OperatorSettings settings,
            Log log,
            Function<Outbound, Inbound> logicFactory) {
        this.config = config;
        // A limit above the number of descriptors would never be reached, and so no idle connection
        // would be evicted for a new one.
        int maxConnections = config.clientLimits().maxConnections();
        this.limits = settings.clientLimits().cappedAt(maxConnections);
        if (settings.clientLimits().maxConnections() > maxConnections) {
            log.warn(
                    "connections_cut",
                    "asked",
                    settings.clientLimits().maxConnections(),
                    "most",
                    maxConnections);
        }
        this.logicFactory = logicFactory;
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

    /**
     * Starts the router. The future completes when it listens, which is before it is ready, and
     * fails if the address cannot be bound.
     */
    public Future<Void> start() {
        Promise<Void> started = Promise.promise();
        context.exceptionHandler(this::onUncaught);
        vertx.exceptionHandler(this::onUncaught);
        context.runOnContext(
                ignored -> {
                    MemoryBudget budget = new MemoryBudget(limits.memoryBytes());
                    Timers timers = new Timers(loop(), this::onUncaught);
                    LoopSocket.Buffers buffers = new LoopSocket.Buffers();
                    IoEventLoop loop = loop();
                    hostConnections =
                            new HostConnectionPool(
                                    loop,
                                    timers,
                                    buffers,
                                    config,
                                    budget,
                                    config.hostDescriptors(),
                                    true,
                                    counters,
                                    log);
                    logicTask =
                            new LogicTask(
                                    timers, config, logicFactory, hostConnections, counters, log);
                    discovery =
                            new Discovery(vertx, config, logicTask, hostConnections, counters, log);
                    clientConnections =
                            new ClientConnections(
                                    loop,
                                    timers,
                                    buffers,
                                    config,
                                    limits,
                                    budget,
                                    config.clientDescriptors(),
                                    logicTask,
                                    counters,
                                    log);
                    Promise<Void> firstList = Promise.promise();
                    // Discovery starts before the router listens, because requests of clients would
                    // wait while its classes are being loaded on the loop.
                    discovery.start(config.initialHostList(), firstList::tryComplete);
                    vertx.setTimer(FIRST_LIST_TIMEOUT_MS, timer -> firstList.tryComplete());
                    context.runOnContext(
                            unused -> openListener(started, firstList.future(), timers, buffers));
                });
        return started.future()
                .onSuccess(
                        ignored ->
                                log.info(
                                        "listening",
                                        "name",
                                        config.name(),
                                        "address",
                                        config.listen().ip() + ":" + clientConnections.port()));
    }

    private IoEventLoop loop() {
        return (IoEventLoop) ((ContextInternal) context).nettyEventLoop();
    }

    private void openListener(
            Promise<Void> started,
            Future<Void> firstList,
            Timers timers,
            LoopSocket.Buffers buffers) {
        Promise<Void> warmedUp = Promise.promise();
        try {
            clientConnections.listen();
        } catch (IOException e) {
            discovery.stop();
            started.fail(e);
            return;
        }
        if (warmupEnabled) {
            int maxSockets = Math.max(1, config.clientDescriptors() / 4);
            clientConnections.warmUp(
                    new Warmup(
                            loop(),
                            timers,
                            buffers,
                            config,
                            logicFactory,
                            maxSockets,
                            rpcs -> {
                                log.info("rehearsed", "rpcs", rpcs);
                                warmedUp.tryComplete();
                            }));
        } else {
            warmedUp.complete();
        }
        started.complete();
        Future.all(warmedUp.future(), firstList)
                .onSuccess(
                        ignored -> {
                            clientConnections.setReady();
                            log.info("ready", "name", config.name());
                        });
    }

    /**
     * Disables the warm-up, for programs in which the code is compiled already. The router is then
     * ready as soon as it has the host list. Must be called before {@link #start}.
     *
     * @return this router
     */
    public Router withoutWarmup() {
        warmupEnabled = false;
        return this;
    }

    private void onUncaught(Throwable cause) {
        counters.add(Counters.Count.FAULTS);
        log.error("fault", cause);
    }

    /**
     * Applies the address of the discovery service from a new router configuration; connections and
     * RPCs are not affected. Changes of any other value take effect at the next start.
     */
    public Future<Void> reload(RouterConfig newConfig) {
        Promise<Void> done = Promise.promise();
        context.runOnContext(
                ignored -> {
                    log.info("reloaded", "discovery", newConfig.discovery());
                    discovery.switchTo(newConfig.discovery());
                    done.complete();
                });
        return done.future();
    }

    /**
     * Serves connected clients for a while, so that other routers can take over, then closes each
     * connection between two requests. The future completes when none is left, or else shortly
     * before the protocol specification allows the process to be killed; all RPCs have been
     * answered by then.
     */
    public Future<Void> drain() {
        Promise<Void> drained = Promise.promise();
        log.info("draining");
        context.runOnContext(
                ignored -> {
                    long untilKillMs = Math.min(MAX_DEADLINE_MS, longestDeadline()) + KILL_GRACE_MS;
                    logicTask.capDeadlines(Span.ofMillis(untilKillMs - FINAL_WRITE_MS));
                    vertx.setTimer(
                            (long) (SERVING_FRACTION * untilKillMs),
                            timer -> clientConnections.drain(drained::tryComplete));
                    vertx.setTimer(
                            untilKillMs - FINAL_WRITE_MS / 2, timer -> drained.tryComplete());
                });
        return drained.future();
    }

    private long longestDeadline() {
        return config.deployment().methods().stream()
                .mapToLong(method -> method.deadline().us() / 1_000)
                .max()
                .orElse(0);
    }

    /**
     * Closes all connections at once and releases all resources. RPCs that are still open are
     * logged.
     */
    public Future<Void> stop() {
        Promise<Void> stopped = Promise.promise();
        context.runOnContext(
                ignored -> {
                    logicTask.logUnanswered();
                    log.info("stopped", "counters", counters);
                    clientConnections.stop();
                    discovery.stop();
                    hostConnections.stop();
                    vertx.close().onComplete(stopped);
                });
        return stopped.future();
    }

    /** Returns the port that the router listens on. Requires that {@link #start} has completed. */
    public int port() {
        return clientConnections.port();
    }

    /** Returns the counters of what the router has done since its start. */
    public Counters counters() {
        return counters;
    }
}
