package ironwind.net;

import ironwind.config.RouterConfig;
import ironwind.model.CallOut;
import ironwind.model.Customer;
import ironwind.model.Deployment;
import ironwind.model.Host;
import ironwind.model.HostEntry;
import ironwind.model.Idempotency;
import ironwind.model.Inbound;
import ironwind.model.Method;
import ironwind.model.Moment;
import ironwind.model.Outbound;
import ironwind.model.Outcome;
import ironwind.model.Role;
import ironwind.model.Rpc;
import ironwind.model.Span;
import ironwind.net.Counters.Count;
import ironwind.pg.Encoder;
import ironwind.pg.PgError;
import ironwind.pg.PgException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Runs the decision logic, which nothing else calls. Events from sockets are queued; a batch
 * delivers all queued events to the logic with the same time and ends with {@link
 * Inbound#onBatchEnd}. The logic requests its actions through {@link Outbound}.
 */
final class LogicTask implements Outbound {
    private static final PgError PUSHED_BACK =
            new PgError(PgError.TOO_MANY_CONNECTIONS, "pushed back: try again later", null);
    private static final PgError ABORTED =
            new PgError(
                    PgError.STATEMENT_COMPLETION_UNKNOWN,
                    "aborted: it may or may not have run",
                    null);

    /** Later than every deadline; a quarter of the range, so that differences don't overflow. */
    private static final Moment FAR_FUTURE = new Moment(Long.MAX_VALUE / 4);

    private final Timers timers;
    private final Deployment deployment;
    private final Inbound logic;
    private final HostConnectionPool pool;
    private final Span probeTimeout;
    private final Span answerSlack;
    private final Counters counters;
    private final Log log;
    private final Queue<Event> events = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean batchScheduled = new AtomicBoolean();
    private final Map<Rpc, Exchange> exchangesByRpc = new HashMap<>();
    private final Map<CallOut, CallOutRequest> callOutRequests = new HashMap<>();

    private final RequestIds ids = new RequestIds();

    /** Upper limit of all deadlines. */
    private Moment latestDeadline = FAR_FUTURE;

    /** Time of the current or last batch. */
    private Moment now = Moment.NEVER;

    /**
     * Caps the deadlines of all open and future RPCs at the given time from now, whatever their
     * clients' deadlines are: the process is killed soon after, and RPCs that are unanswered then
     * are lost. Call-outs that are still in flight at that time are given up.
     */
    void capDeadlines(Span fromNow) {
        latestDeadline = Clock.read().plus(fromNow);
        for (Exchange exchange : ids.openExchanges()) {
            if (exchange.rpc != null && exchange.rpc.deadline.after(latestDeadline)) {
                exchange.rpc.deadline = latestDeadline;
                scheduleAnswerCheck(exchange);
            }
        }
        timers.schedule(
                fromNow,
                () ->
                        List.copyOf(callOutRequests.values())
                                .forEach(request -> request.giveUp(Ending.TIMED_OUT)));
    }

    /**
     * An RPC as its client requests it in the comment of a statement.
     *
     * @param id the client's id for the RPC
     * @param method the method that it calls
     * @param customer the customer that it counts for; null for none
     * @param group number of the group that must answer it
     * @param session the client's session, identified by the statement's row key; null for none,
     *     and if the RPC is rejected
     * @param timeout time until the client's deadline, from when the client wrote the request
     * @param afterMs log position that a session read must see, in Unix milliseconds; zero for none
     * @param retry whether the client marked it as a retry
     * @param inputDelay how long the request had been in its socket before it was read
     * @param rejectOnArrival whether there is no memory or time left to hold it
     */
    record RpcRequest(
            String id,
            Method method,
            Customer customer,
            int group,
            String session,
            Span timeout,
            long afterMs,
            boolean retry,
            Span inputDelay,
            boolean rejectOnArrival) {}

    /**
     * A queued event.
     *
     * @param exchange the exchange that is aborted if the action fails; null for none
     * @param action delivers the event, at the time of its batch
     */
    private record Event(Exchange exchange, Consumer<Moment> action) {}

    /**
     * Creates a task with its decision logic.
     *
     * @param logicFactory creates it, given the receiver of its actions
     */
    LogicTask(
            Timers timers,
            RouterConfig config,
            Function<Outbound, Inbound> logicFactory,
            HostConnectionPool pool,
            Counters counters,
            Log log) {
        this.timers = timers;
        this.deployment = config.deployment();
        this.logic = logicFactory.apply(this);
        this.pool = pool;
        this.probeTimeout = config.connectTimeout();
        this.answerSlack = config.answerSlack();
        this.counters = counters;
        this.log = log;
    }

    // ---- event queue

    /** Queues an event, and schedules a batch if none is scheduled. */
    private void enqueue(Exchange exchange, Consumer<Moment> action) {
        events.add(new Event(exchange, action));
        if (batchScheduled.compareAndSet(false, true)) {
            timers.execute(this::runBatch);
        }
    }

    private void runBatch() {
        batchScheduled.set(false);
        now = now.later(Clock.read());
        for (Event event = events.poll(); event != null; event = events.poll()) {
            runGuarded(event.exchange, event.action);
        }
        runGuarded(null, logic::onBatchEnd);
    }

    /**
     * Runs an action. An unexpected exception is logged, and the RPC that it concerns is aborted.
     */
    private void runGuarded(Exchange exchange, Consumer<Moment> action) {
        try {
            action.accept(now);
        } catch (RuntimeException e) {
            counters.add(Count.FAULTS);
            log.error("fault", e);
            if (exchange != null) {
                answer(exchange, Count.ABORTED, Encoder.errorResponseAndReady(ABORTED));
            }
        }
    }

    /** Returns the number of RPCs that have no final answer yet. */
    int openRpcCount() {
        return ids.openCount();
    }

    /**
     * Logs the RPCs that have no answer when the process ends, with the hosts that they may have
     * reached.
     */
    void logUnanswered() {
        for (Exchange exchange : ids.openExchanges()) {
            List<String> hosts =
                    exchange.rpc == null
                            ? List.of()
                            : exchange.rpc.callOuts.stream()
                                    .map(callOut -> callOut.host.id)
                                    .toList();
            log.error(
                    "unanswered",
                    "id",
                    exchange.id,
                    "method",
                    exchange.statement() == null
                            ? null
                            : exchange.statement().attributes().get("c"),
                    "hosts",
                    hosts);
        }
    }

    // ---- events

    /**
     * Discovery has sent an update.
     *
     * @param complete whether the entries are the whole list; otherwise only those that changed
     * @param before runs in the same batch, before the logic receives the update
     */
    void onDiscoveryUpdate(boolean complete, List<HostEntry> entries, Runnable before) {
        enqueue(
                null,
                time -> {
                    before.run();
                    logic.onDiscoveryUpdate(time, complete, entries);
                    pool.removeHosts(id -> logic.host(id) == null);
                });
    }

    /**
     * Checks an RPC before it is accepted.
     *
     * @throws PgException if its id is that of an open RPC or of a write that may have run, or its
     *     group is in no discovery update
     */
    void validate(RpcRequest request) {
        if (ids.isOpen(request.id)) {
            throw new PgException(
                    PgException.SYNTAX_ERROR, "the comment's id belongs to another open request");
        }
        if (ids.isRemembered(request.id)) {
            throw new PgException(
                    PgException.SYNTAX_ERROR,
                    "the comment's id belongs to an earlier write, which may have run");
        }
        if (logic.group(request.group) == null) {
            throw new PgException(PgException.SYNTAX_ERROR, "the comment's cluster is unknown");
        }
    }

    /** A valid RPC has arrived; it is answered through its exchange. */
    void onRpcArrived(Exchange exchange, RpcRequest request) {
        counters.add(Count.RPCS);
        ids.begin(exchange);
        enqueue(
                exchange,
                time -> {
                    Rpc rpc =
                            new Rpc(
                                    request.id,
                                    request.method,
                                    request.customer,
                                    logic.group(request.group),
                                    request.session,
                                    time,
                                    time.plus(request.timeout)
                                            .minus(request.inputDelay)
                                            .earlier(latestDeadline),
                                    request.afterMs <= 0
                                            ? Moment.NEVER
                                            : Moment.ofMillis(request.afterMs),
                                    request.retry);
                    rpc.rejectOnArrival = request.rejectOnArrival;
                    exchange.rpc = rpc;
                    exchangesByRpc.put(rpc, exchange);
                    scheduleAnswerCheck(exchange);
                    logic.onRpcArrived(time, rpc);
                });
    }

    /** Schedules {@link #checkAnswered} for the end of the slack after the RPC's deadline. */
    private void scheduleAnswerCheck(Exchange exchange) {
        Span delay = exchange.rpc.deadline.plus(answerSlack).since(Clock.read());
        if (exchange.watchdog != null) {
            exchange.watchdog.cancel();
        }
        exchange.watchdog =
                timers.schedule(
                        delay, () -> enqueue(exchange, time -> checkAnswered(time, exchange)));
    }

    /**
     * Guards against a defect that leaves an RPC without an answer: the logic always answers before
     * this.
     *
     * @throws IllegalStateException if the RPC has no answer; the caller then aborts it
     */
    private void checkAnswered(Moment time, Exchange exchange) {
        logic.onBatchEnd(time);
        if (exchange.rpc.state != Rpc.State.DONE && !exchange.isAnswered()) {
            throw new IllegalStateException("no answer by the deadline of " + exchange.rpc.id);
        }
    }

    /** The client of an RPC has disconnected; the RPC needs no answer. */
    void onClientLeft(Exchange exchange) {
        enqueue(
                null,
                time -> {
                    releaseId(exchange);
                    if (exchange.rpc != null && exchange.rpc.state != Rpc.State.DONE) {
                        counters.add(Count.ABANDONED);
                        logic.onClientLeft(time, exchange.rpc);
                        removeIfDone(exchange.rpc);
                    }
                    exchange.discard();
                });
    }

    /** The connection of a call-out is established: writes it if the logic still permits that. */
    void onConnected(CallOutRequest request) {
        enqueue(
                request.exchange,
                time -> {
                    if (!request.hasEnded()) {
                        if (logic.maySendNow(time, request.callOut)) {
                            request.write(time);
                        } else {
                            request.releaseUnsent();
                        }
                    }
                });
    }

    /**
     * A call-out has ended.
     *
     * @param answer what the host sent; null if no connection could be acquired or the request was
     *     given up
     */
    void onCallOutEnded(CallOutRequest request, Ending ending, HostAnswer answer) {
        counters.add(ending);
        enqueue(
                request.exchange,
                time -> {
                    try {
                        finishCallOut(time, request, ending, answer);
                    } finally {
                        HostAnswer.release(answer);
                    }
                });
    }

    /** A probe has ended. */
    void onProbeEnded(Host host, boolean answered, Role role, Moment position) {
        enqueue(null, time -> logic.onProbeEnded(time, host, answered, role, position));
    }

    private void finishCallOut(
            Moment time, CallOutRequest request, Ending ending, HostAnswer answer) {
        CallOut callOut = request.callOut;
        Rpc rpc = callOut.rpc;
        callOutRequests.remove(callOut);
        boolean open = rpc.state != Rpc.State.DONE;
        Outcome outcome =
                ending == Ending.SERVED && open
                        ? passOn(request.exchange, answer)
                        : ending.outcome();
        // A malformed or missing answer gives neither a role nor a position.
        Role role = outcome.answered ? answer.role() : Role.UNKNOWN;
        Moment position = outcome.answered ? answer.position(time) : Moment.NEVER;
        logic.onCallOutEnded(
                time,
                callOut,
                outcome,
                !open || outcome == Outcome.OK,
                role,
                position,
                outcome.answered ? answer.beganAt().earlier(time) : time,
                time.since(callOut.sentAt));
        removeIfDone(rpc);
    }

    /** Passes a host's answer on, if there is memory for it until it is written. */
    private Outcome passOn(Exchange exchange, HostAnswer answer) {
        byte[][] parts = Encoder.singleRowResultParts(answer.row());
        if (!exchange.hasRoomFor(Exchange.totalBytes(parts))) {
            return Outcome.UNDELIVERABLE;
        }
        answer(exchange, Count.OK, parts);
        return Outcome.OK;
    }

    // ---- actions of the logic

    @Override
    public void send(CallOut callOut, Span timeout) {
        counters.add(Count.CALL_OUTS);
        Moment giveUpAt =
                timeout.us() > 0
                        ? callOut.rpc.deadline.earlier(now.plus(timeout))
                        : callOut.rpc.deadline;
        CallOutRequest request = new CallOutRequest(this, callOut, exchangesByRpc.get(callOut.rpc));
        callOutRequests.put(callOut, request);
        request.start(
                pool,
                now,
                timers.schedule(
                        giveUpAt.since(Clock.read()), () -> request.giveUp(Ending.TIMED_OUT)));
    }

    @Override
    public void cancel(CallOut callOut) {
        CallOutRequest request = callOutRequests.get(callOut);
        if (request != null) {
            request.giveUp(Ending.CANCELLED);
        }
    }

    @Override
    public void pushBack(Rpc rpc, Span retryAfter) {
        answer(
                rpc,
                Count.PUSHED_BACK,
                new PgError(
                        PUSHED_BACK.sqlState(),
                        PUSHED_BACK.message(),
                        Timers.formatRetryAfter(retryAfter)));
    }

    @Override
    public void abort(Rpc rpc) {
        answer(rpc, Count.ABORTED, ABORTED);
    }

    private void answer(Rpc rpc, Count count, PgError error) {
        answer(exchangesByRpc.get(rpc), count, Encoder.errorResponseAndReady(error));
        removeIfDone(rpc);
    }

    /** Sends an RPC's final answer, if it has none yet. Every final answer goes through here. */
    private void answer(Exchange exchange, Count count, byte[]... parts) {
        releaseId(exchange);
        if (exchange.answer(parts)) {
            counters.add(count);
        }
    }

    private void releaseId(Exchange exchange) {
        ids.end(exchange, exchange.rpc != null && isWriteThatMayRun(exchange.rpc));
    }

    /** Returns whether an RPC is a write that may have run or may still run. */
    private static boolean isWriteThatMayRun(Rpc rpc) {
        return rpc.method.idempotency() != Idempotency.IDEMPOTENT
                && (rpc.inFlight > 0 || rpc.firstPossibleRunAt != null);
    }

    private void removeIfDone(Rpc rpc) {
        if (rpc.state == Rpc.State.DONE && rpc.inFlight == 0) {
            exchangesByRpc.remove(rpc);
            if (rpc.firstPossibleRunAt == null) {
                ids.forget(rpc.id);
            }
        }
    }

    @Override
    public void probe(Host host) {
        counters.add(Count.PROBES);
        Probe probe = new Probe(this, host);
        String sql = deployment.probesReportPosition() ? Probe.LOAD_REPORT : Probe.PING;
        probe.start(pool, sql, timers.schedule(probeTimeout, probe::giveUp));
    }

    @Override
    public void closeIdleConnections(Host host) {
        pool.closeIdle(host.id);
    }

    @Override
    public void wakeAt(Moment when) {
        timers.schedule(when.since(now), this::runBatch);
    }
}
