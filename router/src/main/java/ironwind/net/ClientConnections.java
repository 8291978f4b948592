package ironwind.net;

import io.netty.channel.IoEventLoop;
import ironwind.config.Address;
import ironwind.config.NameIndex;
import ironwind.config.RouterConfig;
import ironwind.idle.CloseReason;
import ironwind.idle.ConnectionManager;
import ironwind.idle.ConnectionState;
import ironwind.idle.Limits;
import ironwind.idle.MemoryBudget;
import ironwind.idle.MemoryBudget.Use;
import ironwind.idle.MonotonicTime;
import ironwind.idle.ReadScheduler;
import ironwind.idle.TrackedConnection;
import ironwind.idle.UnsentAnswers;
import ironwind.model.Customer;
import ironwind.model.Idempotency;
import ironwind.model.Method;
import ironwind.model.Moment;
import ironwind.model.Span;
import ironwind.net.Counters.Count;
import ironwind.pg.Encoder;
import ironwind.pg.PgException;
import ironwind.pg.Statement;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import jdk.net.ExtendedSocketOptions;

/**
 * All connections of clients: what comes in on them becomes RPCs. Who is let in, kept and read is
 * decided in {@code ironwind.idle}; this carries it out.
 */
final class ClientConnections implements Acceptor.Handler {
    /** In milliseconds, as far as times can be reckoned with. */
    private static final long LONGEST_MS = Long.MAX_VALUE / 1_000_000;

    /** Times that are out are looked for so often, with one timer for all. */
    private static final Span LOOK_EVERY = Span.ofMillis(100);

    /** A step of the steady time is no longer: what took longer was a pause of the process. */
    private static final Span LONGEST_STEP = Span.ofMillis(500);

    /** The loop looked at no socket for so long: told in the log. */
    private static final Span STOOD_STILL = Span.ofMillis(200);

    /** Ended one after another before others are served again. */
    private static final int ENDED_AT_ONCE = 256;

    /** Those that spoke in the very moment in which they were to give way. */
    private static final int MOST_WOKEN = 8;

    private static final int KEEPALIVE_PROBES = 3;

    /** The settings tell how long clients wait; what is this many times as long is no such time. */
    private static final double MOST_DEADLINES = 4;

    /** What an open RPC takes beside its statement, which is held as text and as facts. */
    private static final int OPEN_RPC_BYTES = 1_024;

    final IoEventLoop loop;
    final LoopSocket.Buffers buffers;
    private final Timers timers;
    private final RouterConfig facts;

    /** Let in at one time, the parting among them: what descriptors allow. */
    private final int most;

    private final LogicTask logic;
    private final Counters counters;
    private final Log log;
    private final Limits limits;
    private final ConnectionManager keeper;
    private final MemoryBudget budget;
    private final UnsentAnswers debtors;
    private final ReadScheduler turns;
    private final MonotonicTime steady = new MonotonicTime(LONGEST_STEP);
    private final Show show;

    /** Empty queries that wait until the router is ready. */
    private final List<Exchange> askedWhetherReady = new ArrayList<>();

    private LoopLag lag;
    private Acceptor acceptor;
    private Warmup rehearsal;
    private boolean turnDue;
    private boolean ready;
    private boolean dismissing;
    private Runnable whenGone = () -> {};

    ClientConnections(
            IoEventLoop loop,
            Timers timers,
            LoopSocket.Buffers buffers,
            RouterConfig facts,
            Limits limits,
            MemoryBudget budget,
            int most,
            LogicTask logic,
            Counters counters,
            Log log) {
        this.loop = loop;
        this.buffers = buffers;
        this.timers = timers;
        this.facts = facts;
        this.limits = limits;
        this.most = most;
        this.logic = logic;
        this.counters = counters;
        this.log = log;
        this.keeper = new ConnectionManager(limits);
        this.budget = budget;
        this.debtors = new UnsentAnswers(limits, budget);
        this.turns = new ReadScheduler(limits, budget);
        this.show = new Show(counters, keeper, budget, debtors, turns, steady, logic);
    }

    void listen() throws IOException {
        lag = new LoopLag(LOOK_EVERY, Clock.read());
        acceptor =
                Acceptor.open(
                        loop,
                        facts.listen(),
                        this,
                        timers,
                        none ->
                                log.warn(
                                        "no_descriptor",
                                        "open",
                                        keeper.connectionCount(),
                                        "cause",
                                        none.getMessage()));
        timers.every(LOOK_EVERY, this::look);
    }

    int port() {
        return acceptor.port();
    }

    /**
     * Until the router is ready, and a little longer for what is on its way, it is its rehearsal's
     * host, too.
     */
    void rehearse(Warmup rehearsed) {
        rehearsal = rehearsed;
        rehearsed.start(new Address(facts.listen().ip(), port()));
    }

    /** From now on empty queries are answered: the front may send clients. */
    void ready() {
        ready = true;
        timers.after(limits.startupTimeout(), () -> rehearsal = null);
        askedWhetherReady.forEach(exchange -> exchange.answer(Encoder.emptyQueryResponse()));
        askedWhetherReady.clear();
    }

    /** Microseconds of the steady time. */
    private long now() {
        return steady.advance(System.nanoTime() / 1_000);
    }

    // ---- the door

    @Override
    public Span acceptPause() {
        if (keeper.connectionCount() >= most) {
            return null;
        }
        long now = now();
        return keeper.mayAccept(now) ? Span.ZERO : keeper.nextAcceptIn(now);
    }

    @Override
    public void onAccepted(SocketChannel channel) {
        counters.add(Count.CLIENTS);
        Object address;
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            if (limits.sendBufferBytes() > 0) {
                channel.setOption(StandardSocketOptions.SO_SNDBUF, (int) limits.sendBufferBytes());
            }
            if (limits.keepalive().us() > 0) {
                keepAlive(channel);
            }
            address = ((InetSocketAddress) channel.getRemoteAddress()).getAddress();
        } catch (IOException goneAgain) {
            counters.add(Ending.CLIENT_LEFT);
            new LoopSocket(channel, buffers, null).close();
            return;
        }
        makeRoom();
        CloseReason refusal = keeper.refusalReason(address);
        ClientConnection client = new ClientConnection(channel, this, lag.lagAt(Clock.read()));
        keeper.add(client, address, now());
        client.begin();
        if (refusal != null) {
            log.warn(
                    "client_refused",
                    "reason",
                    refusal,
                    "address",
                    address,
                    "open",
                    keeper.connectionCount());
            client.turnAway(refusal, facts.deployment().maxRetryAfter());
        } else if (dismissing) {
            client.dismiss();
        }
    }

    private void keepAlive(SocketChannel channel) throws IOException {
        int seconds = (int) Math.max(1, limits.keepalive().us() / 1_000_000);
        channel.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
        channel.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, seconds);
        channel.setOption(
                ExtendedSocketOptions.TCP_KEEPINTERVAL, Math.max(1, seconds / KEEPALIVE_PROBES));
        channel.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, KEEPALIVE_PROBES);
    }

    private void makeRoom() {
        int woken = 0;
        TrackedConnection least = keeper.evictionCandidateIfFull();
        while (least != null && woken < MOST_WOKEN) {
            woken += giveWay(least, CloseReason.GAVE_WAY) ? 0 : 1;
            least = keeper.evictionCandidateIfFull();
        }
    }

    /** Ends one that carries nothing, unless its client has just spoken. */
    private boolean giveWay(TrackedConnection peer, CloseReason reason) {
        boolean parted = peer.state() == ConnectionState.CLOSING;
        boolean ended = ((ClientConnection) peer).giveWay();
        if (ended && !parted) {
            keeper.recordClose(reason);
        }
        return ended;
    }

    // ---- whose time is out

    private void look() {
        Moment time = Clock.read();
        Span stood = lag.lagAt(time);
        if (stood.longerThan(STOOD_STILL)) {
            log.warn("loop_stood", "ms", stood.us() / 1_000, "ready", ready);
        }
        lag.recordTick(time);
        endDue();
        endDebtors(now());
        logic.memoryFreed();
        acceptor.tryResume();
        if (turns.hasQueued()) {
            callTurn();
        }
    }

    private void endDue() {
        long now = now();
        TrackedConnection due = keeper.nextExpired(now);
        for (int i = 0; i < ENDED_AT_ONCE && due != null; i++) {
            ClientConnection client = (ClientConnection) due;
            CloseReason why = keeper.expiryReason(due);
            if (due.state() == ConnectionState.CLOSING) {
                client.cut();
            } else if (why == CloseReason.TOO_SLOW) {
                keeper.recordClose(why);
                client.fail(new PgException(why.sqlState, why.message));
            } else {
                giveWay(due, why);
            }
            due = keeper.nextExpired(now);
        }
        if (due != null) {
            soon(this::endDue);
        }
    }

    private void endDebtors(long now) {
        for (TrackedConnection due = debtors.nextToClose(now);
                due != null;
                due = debtors.nextToClose(now)) {
            CloseReason why = debtors.closeReason();
            keeper.recordClose(why);
            log.warn(
                    "client_owed",
                    "reason",
                    why,
                    "bytes",
                    due.unsentBytes(),
                    "all",
                    budget.reserved(Use.UNSENT_ANSWERS));
            ((ClientConnection) due).cut();
        }
    }

    // ---- turns to be read

    boolean mayRead(ClientConnection client) {
        boolean now = turns.readNowOrEnqueue(client, now(), logic.open());
        if (!now) {
            callTurn();
        }
        return now;
    }

    boolean waits(ClientConnection client) {
        return turns.isQueued(client);
    }

    private void callTurn() {
        if (!turnDue) {
            turnDue = true;
            timers.soon(this::turn);
        }
    }

    /** The crowd's turn, after which all that is active is looked at before the next. */
    private void turn() {
        turnDue = false;
        turns.beginTurn(now());
        TrackedConnection next = turns.poll(now(), logic.open());
        while (next != null) {
            ((ClientConnection) next).turn();
            next = turns.poll(now(), logic.open());
        }
        if (turns.hasQueued() && turns.hasEligible(now(), logic.open())) {
            callTurn();
        }
    }

    void heard(ClientConnection client) {
        turns.markRead(client);
    }

    // ---- memory

    boolean lend(int bytes, boolean always) {
        if (always || bytes <= 0) {
            budget.forceReserve(Use.PARTIAL_REQUESTS, bytes);
            return true;
        }
        boolean lent = budget.tryReserve(Use.PARTIAL_REQUESTS, bytes);
        if (!lent) {
            keeper.recordClose(CloseReason.NO_MEMORY);
        }
        return lent;
    }

    void owes(ClientConnection client, int bytes) {
        long now = now();
        debtors.add(client, bytes, now);
        if (budget.reserved(Use.UNSENT_ANSWERS) > limits.maxUnsentTotal()) {
            soon(() -> endDebtors(now()));
        }
    }

    void took(ClientConnection client, int bytes) {
        debtors.drained(client, bytes, now());
    }

    boolean isOwedMuch(ClientConnection client) {
        return debtors.isOverClientLimit(client);
    }

    // ---- how they stand

    void stands(ClientConnection client, ConnectionState standing) {
        keeper.setState(client, standing, now());
    }

    /** An answer has gone out. */
    void answered(ClientConnection client, Exchange exchange) {
        if (turns.hasQueued()) {
            callTurn();
        }
        budget.release(Use.OPEN_RPCS, exchange.reservedBytes);
        exchange.reservedBytes = 0;
        if (exchange.rpc != null) {
            TrackedConnection over = keeper.recordAnswer(client, exchange.rpc.customer, now());
            if (over != null && over != client) {
                soon(() -> giveWay(over, CloseReason.CUSTOMER_FULL));
            }
        }
    }

    void soon(Runnable action) {
        timers.soon(action);
    }

    void malformed(PgException fault) {
        counters.add(Count.MALFORMED);
        log.warn("client_malformed", "code", fault.sqlState, "what", fault.getMessage());
    }

    void ended(ClientConnection client, Ending ending, Exchange unanswered) {
        counters.add(ending);
        debtors.remove(client);
        keeper.remove(client);
        for (Exchange exchange = unanswered; exchange != null; exchange = exchange.next) {
            budget.release(Use.OPEN_RPCS, exchange.reservedBytes);
            exchange.reservedBytes = 0;
            logic.left(exchange);
        }
        acceptor.tryResume();
        if (dismissing && keeper.connectionCount() == 0) {
            whenGone.run();
        }
    }

    // ---- commands

    /** Takes one command; a {@link PgException} tells what is wrong with it. */
    void command(ClientConnection client, String sql) {
        Statement statement = Statement.parse(sql);
        if (!statement.attributes().isEmpty()) {
            rpc(client, statement);
        } else if (statement.text().isEmpty()) {
            Exchange exchange = client.add(null, 0);
            if (ready) {
                exchange.answer(Encoder.emptyQueryResponse());
            } else {
                askedWhetherReady.add(exchange);
            }
        } else {
            byte[] table = show.answerTo(statement.text());
            if (table == null) {
                throw new PgException(
                        PgException.FEATURE_NOT_SUPPORTED,
                        "a statement must say what it is in a comment before it");
            }
            client.add(null, 0).answer(table);
        }
    }

    private void rpc(ClientConnection client, Statement statement) {
        byte[] rehearsed = rehearsal == null ? null : rehearsal.answerTo(statement);
        if (rehearsed != null) {
            client.add(statement, 0).answer(rehearsed);
            return;
        }
        NameIndex names = facts.names();
        Method method = known(names.methods().get(statement.required("c")), "c");
        Customer customer =
                names.customers().isEmpty()
                        ? null
                        : known(names.customers().get(statement.required("t")), "t");
        Span waits = Span.ofMillis(statement.requiredLong("d", 1, LONGEST_MS));
        if (waits.longerThan(method.deadline().times(MOST_DEADLINES))) {
            throw new PgException(
                    PgException.SYNTAX_ERROR,
                    "the comment's d is far beyond its method's deadline: " + waits.us());
        }
        if (method.idempotency() == Idempotency.TOKENED) {
            statement.required("k");
        }
        long after =
                statement.attributes().containsKey("after")
                        ? statement.requiredLong("after", 0, LONGEST_MS)
                        : 0;
        int bytes = OPEN_RPC_BYTES + 2 * statement.text().length();
        Span waited = turns.queueTime(client, now());
        Span lay = waited.longer(client.lay(lag.lagAt(Clock.read())));
        LogicTask.Asked asked =
                new LogicTask.Asked(
                        statement.required("id"),
                        method,
                        customer,
                        (int) statement.requiredLong("cluster", 0, Integer.MAX_VALUE),
                        statement.rowKey(),
                        waits,
                        after,
                        "1".equals(statement.attributes().get("r")),
                        lay,
                        turns.shouldPushBack(waited, bytes));
        logic.check(asked);
        budget.forceReserve(Use.OPEN_RPCS, bytes);
        logic.arrived(client.add(statement, bytes), asked);
    }

    private static <T> T known(T value, String fact) {
        if (value == null) {
            throw new PgException(
                    PgException.SYNTAX_ERROR, "the comment's " + fact + " names nothing known");
        }
        return value;
    }

    // ---- the end

    /** Asks all clients away between their requests; runs the action once none is left. */
    void dismissAll(Runnable gone) {
        dismissing = true;
        whenGone = gone;
        dismissSome();
        if (keeper.connectionCount() == 0) {
            whenGone.run();
        }
    }

    /**
     * Some at a time, so that those who still ask are served meanwhile; the busy end with their
     * last answer.
     */
    private void dismissSome() {
        TrackedConnection next = keeper.evictionCandidate();
        for (int i = 0; i < ENDED_AT_ONCE && next != null && keeper.connectionCount() > 0; i++) {
            if (next.state() == ConnectionState.CLOSING) {
                ((ClientConnection) next).cut();
            } else {
                ((ClientConnection) next).dismiss();
            }
            next = keeper.evictionCandidate();
        }
        if (next != null) {
            soon(this::dismissSome);
        }
    }

    boolean isDismissing() {
        return dismissing;
    }

    void stop() {
        if (acceptor != null) {
            acceptor.close();
        }
    }
}
