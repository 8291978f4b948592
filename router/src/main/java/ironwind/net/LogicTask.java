package ironwind.net;

import ironwind.config.RouterConfig;
import ironwind.model.CallOut;
import ironwind.model.Customer;
import ironwind.model.Deployment;
import ironwind.model.Host;
import ironwind.model.HostEntry;
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
 * The sole owner of the decision module. What happens on sockets is put into a queue; a batch takes
 * all that waits there at one time, settles once, and carries out what the module asks for.
 */
final class LogicTask implements Outbound {
    private static final PgError PUSHED_BACK =
            new PgError(PgError.TOO_MANY_CONNECTIONS, "pushed back: try again later", null);
    private static final PgError ABORTED =
            new PgError(
                    PgError.STATEMENT_COMPLETION_UNKNOWN,
                    "aborted: it may or may not have run",
                    null);

    private static final Moment FAR = new Moment(Long.MAX_VALUE / 4);

    private final Timers timers;
    private final Deployment deployment;
    private final Inbound logic;
    private final HostConnections hosts;
    private final Span probeTime;
    private final Span answerSlack;
    private final Counters counters;
    private final Log log;
    private final Queue<Event> queue = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean batchDue = new AtomicBoolean();
    private final Map<Rpc, Exchange> exchanges = new HashMap<>();
    private final Map<CallOut, Sending> sendings = new HashMap<>();

    /** Of RPCs without their final answer. */
    private final Map<String, Exchange> openIds = new HashMap<>();

    private Moment lastAnswer = FAR;
    private Moment now = Moment.NEVER;

    /**
     * No RPC is held for longer than up to this moment, those included that were taken before and
     * whose clients would wait longer: the process is killed soon after, and what is unanswered
     * then is lost.
     */
    void endBy(Span fromNow) {
        lastAnswer = Clock.read().plus(fromNow);
        for (Exchange exchange : List.copyOf(openIds.values())) {
            if (exchange.rpc != null && exchange.rpc.deadline.after(lastAnswer)) {
                exchange.rpc.deadline = lastAnswer;
                watch(exchange);
            }
        }
        timers.after(
                fromNow,
                () ->
                        List.copyOf(sendings.values())
                                .forEach(sending -> sending.giveUp(Ending.TIMED_OUT)));
    }

    /**
     * What an RPC's comment says, read.
     *
     * @param waited how long it had lain in its socket before it was read
     * @param roomless there is no memory or time left to hold it
     */
    record Asked(
            String id,
            Method method,
            Customer customer,
            int group,
            String session,
            Span waits,
            long after,
            boolean repeat,
            Span waited,
            boolean roomless) {}

    /** What happened, and the exchange it concerns, if one. */
    private record Event(Exchange concerned, Consumer<Moment> act) {}

    LogicTask(
            Timers timers,
            RouterConfig facts,
            Function<Outbound, Inbound> module,
            HostConnections hosts,
            Counters counters,
            Log log) {
        this.timers = timers;
        this.deployment = facts.deployment();
        this.logic = module.apply(this);
        this.hosts = hosts;
        this.probeTime = facts.connectTimeout();
        this.answerSlack = facts.answerSlack();
        this.counters = counters;
        this.log = log;
    }

    // ---- the queue

    private void put(Exchange concerned, Consumer<Moment> act) {
        queue.add(new Event(concerned, act));
        if (batchDue.compareAndSet(false, true)) {
            timers.soon(this::batch);
        }
    }

    private void batch() {
        batchDue.set(false);
        now = now.later(Clock.read());
        for (Event event = queue.poll(); event != null; event = queue.poll()) {
            guard(event.concerned, event.act);
        }
        guard(null, logic::onBatchEnd);
    }

    /** An exception that nothing expected is told once, and what it concerns is still answered. */
    private void guard(Exchange concerned, Consumer<Moment> act) {
        try {
            act.accept(now);
        } catch (RuntimeException fault) {
            counters.add(Count.FAULTS);
            log.error("fault", fault);
            if (concerned != null) {
                answer(concerned, Count.ABORTED, Encoder.errorAndReady(ABORTED));
            }
        }
    }

    /** RPCs that have no final answer yet. */
    int open() {
        return openIds.size();
    }

    /**
     * Says which RPCs end without an answer, by what hosts they may have reached: for the last
     * moment of a process.
     */
    void tellUnanswered() {
        for (Exchange exchange : openIds.values()) {
            List<String> hosts =
                    exchange.rpc == null
                            ? List.of()
                            : exchange.rpc.callOuts.stream()
                                    .map(callOut -> callOut.host.id)
                                    .toList();
            log.error(
                    "unanswered",
                    "id",
                    exchange.statement.attributes().get("id"),
                    "method",
                    exchange.statement.attributes().get("c"),
                    "hosts",
                    hosts);
        }
    }

    /** Memory may be free for answers of hosts that wait for it. */
    void memoryFreed() {
        hosts.memoryFreed();
    }

    // ---- what comes in

    void listed(boolean complete, List<HostEntry> entries, Runnable before) {
        put(
                null,
                time -> {
                    before.run();
                    logic.onDiscoveryUpdate(time, complete, entries);
                    hosts.letGo(id -> logic.host(id) == null);
                });
    }

    /** What cannot be taken: an id that is open already, or a group that no list has named. */
    void check(Asked asked) {
        if (openIds.containsKey(asked.id)) {
            throw new PgException(
                    PgException.SYNTAX_ERROR, "the comment's id is that of another open request");
        }
        if (logic.group(asked.group) == null) {
            throw new PgException(
                    PgException.SYNTAX_ERROR, "the comment's cluster names nothing known");
        }
    }

    void arrived(Exchange exchange, Asked asked) {
        counters.add(Count.RPCS);
        openIds.put(asked.id, exchange);
        put(
                exchange,
                time -> {
                    Rpc rpc =
                            new Rpc(
                                    asked.id,
                                    asked.method,
                                    asked.customer,
                                    logic.group(asked.group),
                                    asked.session,
                                    time,
                                    time.plus(asked.waits).minus(asked.waited).earlier(lastAnswer),
                                    asked.after <= 0 ? Moment.NEVER : Moment.ofMillis(asked.after),
                                    asked.repeat);
                    rpc.rejectOnArrival = asked.roomless;
                    exchange.rpc = rpc;
                    exchanges.put(rpc, exchange);
                    watch(exchange);
                    logic.onRpcArrived(time, rpc);
                });
    }

    private void watch(Exchange exchange) {
        Span longest = exchange.rpc.deadline.plus(answerSlack).since(Clock.read());
        if (exchange.watchdog != null) {
            exchange.watchdog.cancel();
        }
        exchange.watchdog =
                timers.after(longest, () -> put(exchange, due -> overdue(due, exchange)));
    }

    /**
     * Guards against a defect that leaves an RPC without its answer: the module always answers
     * before this.
     */
    private void overdue(Moment time, Exchange exchange) {
        logic.onBatchEnd(time);
        if (exchange.rpc.state != Rpc.State.DONE && !exchange.isAnswered()) {
            throw new IllegalStateException("no answer by the deadline of " + exchange.rpc.id);
        }
    }

    void left(Exchange exchange) {
        if (exchange.statement == null) {
            return;
        }
        put(
                null,
                time -> {
                    freeId(exchange);
                    if (exchange.rpc != null && exchange.rpc.state != Rpc.State.DONE) {
                        counters.add(Count.LEFT);
                        logic.onClientLeft(time, exchange.rpc);
                        forget(exchange.rpc);
                    }
                });
    }

    /** The connection of a sending has come up: it is written if the module still stands by it. */
    void up(Sending sending) {
        put(
                sending.exchange,
                time -> {
                    if (!sending.isOver()) {
                        if (logic.maySendNow(time, sending.callOut)) {
                            sending.write(time);
                        } else {
                            sending.leave();
                        }
                    }
                });
    }

    void ended(Sending sending, Ending ending, HostWord word) {
        counters.add(ending);
        put(sending.exchange, time -> close(time, sending, ending, word));
    }

    void probed(Host host, boolean answered, Role role, Moment position) {
        put(null, time -> logic.onProbeEnded(time, host, answered, role, position));
    }

    private void close(Moment time, Sending sending, Ending ending, HostWord word) {
        CallOut callOut = sending.callOut;
        Rpc rpc = callOut.rpc;
        Outcome outcome = ending.outcome();
        sendings.remove(callOut);
        boolean open = rpc.state != Rpc.State.DONE;
        if (outcome == Outcome.OK && open) {
            answer(sending.exchange, Count.OK, Encoder.rowInParts(word.row()));
        }
        // What can't be read tells nothing: neither a role nor a position.
        Role role = outcome.answered ? word.role() : Role.UNKNOWN;
        Moment position = outcome.answered ? word.position(time) : Moment.NEVER;
        logic.onCallOutEnded(
                time,
                callOut,
                outcome,
                !open || outcome == Outcome.OK,
                role,
                position,
                time.since(callOut.sentAt));
        forget(rpc);
    }

    // ---- what the module asks for

    @Override
    public void send(CallOut callOut, Span limit) {
        counters.add(Count.CALL_OUTS);
        Moment until =
                limit.us() > 0
                        ? callOut.rpc.deadline.earlier(now.plus(limit))
                        : callOut.rpc.deadline;
        Sending sending = new Sending(this, callOut, exchanges.get(callOut.rpc));
        sendings.put(callOut, sending);
        sending.begin(
                hosts,
                now,
                timers.after(until.since(Clock.read()), () -> sending.giveUp(Ending.TIMED_OUT)));
    }

    @Override
    public void cancel(CallOut callOut) {
        Sending sending = sendings.get(callOut);
        if (sending != null) {
            sending.giveUp(Ending.CALLED_OFF);
        }
    }

    @Override
    public void pushBack(Rpc rpc, Span comeBackAfter) {
        answer(
                rpc,
                Count.PUSHED_BACK,
                new PgError(
                        PUSHED_BACK.sqlState(), PUSHED_BACK.message(), Timers.told(comeBackAfter)));
    }

    @Override
    public void abort(Rpc rpc) {
        answer(rpc, Count.ABORTED, ABORTED);
    }

    private void answer(Rpc rpc, Count count, PgError failure) {
        answer(exchanges.get(rpc), count, Encoder.errorAndReady(failure));
        forget(rpc);
    }

    /** The one place from which an RPC's final answer goes out. */
    private void answer(Exchange exchange, Count count, byte[]... parts) {
        freeId(exchange);
        if (exchange.answer(parts)) {
            counters.add(count);
        }
    }

    private void freeId(Exchange exchange) {
        openIds.remove(exchange.statement.attributes().get("id"), exchange);
    }

    private void forget(Rpc rpc) {
        if (rpc.state == Rpc.State.DONE && rpc.inFlight == 0) {
            exchanges.remove(rpc);
        }
    }

    @Override
    public void probe(Host host) {
        counters.add(Count.PROBES);
        Probe probe = new Probe(this, host);
        String question = deployment.probesReportPosition() ? Probe.FOR_REPORT : Probe.FOR_LIFE;
        probe.begin(hosts, question, timers.after(probeTime, probe::giveUp));
    }

    @Override
    public void closeIdleConnections(Host host) {
        hosts.closeIdle(host.id);
    }

    @Override
    public void wakeAt(Moment when) {
        timers.after(when.since(now), this::batch);
    }
}
