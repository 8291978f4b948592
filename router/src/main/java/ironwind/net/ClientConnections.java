package ironwind.net;

import io.netty.channel.IoEventLoop;
import ironwind.config.Address;
import ironwind.config.NameIndex;
import ironwind.config.RouterConfig;
import ironwind.idle.CloseReason;
import ironwind.idle.ConnectionManager;
import ironwind.idle.ConnectionState;
import ironwind.idle.InputBuffering;
import ironwind.idle.Limits;
import ironwind.idle.MemoryBudget;
import ironwind.idle.MemoryBudget.Use;
import ironwind.idle.MemoryReservation;
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
 * All connections of clients. Turns their commands into RPCs, and carries out the decisions of
 * {@code ironwind.idle} about which connections are accepted, kept open and read.
 */
final class ClientConnections implements Acceptor.Handler {
    /**
     * Longest time in a comment, in milliseconds, so that arithmetic in microseconds does not
     * overflow.
     */
    private static final long MAX_TIME_MS = Long.MAX_VALUE / 1_000_000;

    /** How often timeouts are checked, with one timer for all connections. */
    private static final Span HOUSEKEEPING_INTERVAL = Span.ofMillis(100);

    /**
     * Delay of a timer by which the event loop has polled all sockets since it was set: a timer
     * that is not due yet runs after another poll at the earliest.
     */
    private static final Span POLL_DELAY = Span.ofMillis(1);

    /** Longest step of the monotonic time. The excess is skipped: it is a pause of the process. */
    private static final Span MAX_TIME_STEP = Span.ofMillis(500);

    /** Lag of the event loop above which it is logged. */
    private static final Span LAG_WARNING_THRESHOLD = Span.ofMillis(200);

    /**
     * Longest time that input may have waited in its socket to be executed without a further read,
     * which shows whether the client has left.
     */
    private static final Span UNNOTICED_WAIT = Span.ofMillis(10);

    /**
     * Connections closed before sockets are polled again, so that the others are served in between.
     */
    private static final int CLOSE_BATCH_SIZE = 256;

    /**
     * Attempts to evict that may fail for one new connection, each because the client has just sent
     * something.
     */
    private static final int MAX_FAILED_EVICTIONS = 8;

    /** TCP keepalive probes without a reply after which a connection fails. */
    private static final int KEEPALIVE_PROBES = 3;

    /**
     * Longest deadline in a comment, as a multiple of the method's deadline in the settings, which
     * is how long its clients wait; a longer one is malformed.
     */
    private static final double MAX_DEADLINE_MULTIPLE = 4;

    /**
     * Memory of an RPC in bytes until its answer is written, beside its statement and its session.
     * The statement is held as text and as attributes until there is an answer; twice its length is
     * counted for it and the session, whose name is a part of it.
     */
    private static final int OPEN_RPC_BYTES = 1_024;

    final IoEventLoop loop;
    final LoopSocket.Buffers buffers;
    private final Timers timers;
    private final RouterConfig config;

    /** Connections that the file descriptors allow, including those that are closing. */
    private final int maxConnections;

    private final LogicTask logicTask;
    private final Counters counters;
    private final Log log;
    private final Limits limits;
    private final ConnectionManager connectionManager;
    private final MemoryBudget budget;
    private final UnsentAnswers unsentAnswers;
    private final ReadScheduler readScheduler;
    private final InputBuffering inputBuffering;
    private final MonotonicTime monotonicTime = new MonotonicTime(MAX_TIME_STEP);
    private final Show show;

    /** Schedules commands of connections that have sent many at once. */
    final CommandTurns commandTurns;

    /** Empty queries, which are not answered until the router is ready. */
    private final List<Exchange> readinessChecks = new ArrayList<>();

    private LoopLag loopLag;
    private Acceptor acceptor;
    private Warmup warmup;
    private boolean turnScheduled;
    private boolean readAheadScheduled;
    private boolean ready;
    private boolean draining;
    private Runnable onDrained = () -> {};

    /**
     * Creates an instance without any connection.
     *
     * @param maxConnections connections that the file descriptors allow
     */
    ClientConnections(
            IoEventLoop loop,
            Timers timers,
            LoopSocket.Buffers buffers,
            RouterConfig config,
            Limits limits,
            MemoryBudget budget,
            int maxConnections,
            LogicTask logicTask,
            Counters counters,
            Log log) {
        this.loop = loop;
        this.buffers = buffers;
        this.timers = timers;
        this.config = config;
        this.limits = limits;
        this.maxConnections = maxConnections;
        this.logicTask = logicTask;
        this.counters = counters;
        this.log = log;
        this.connectionManager = new ConnectionManager(limits);
        this.budget = budget;
        this.unsentAnswers = new UnsentAnswers(limits, budget);
        this.readScheduler = new ReadScheduler(limits, budget);
        this.inputBuffering = new InputBuffering(budget);
        this.commandTurns = new CommandTurns(limits.turnDuration(), timers, this::now);
        this.show =
                new Show(
                        counters,
                        connectionManager,
                        budget,
                        unsentAnswers,
                        readScheduler,
                        commandTurns.scheduler(),
                        monotonicTime,
                        logicTask);
    }

    /**
     * Starts to accept connections.
     *
     * @throws IOException if the address cannot be bound
     */
    void listen() throws IOException {
        loopLag =
                new LoopLag(
                        HOUSEKEEPING_INTERVAL.plus(POLL_DELAY).plus(POLL_DELAY),
                        Clock.readMonotonic());
        acceptor =
                Acceptor.open(
                        loop,
                        config.listen(),
                        this,
                        timers,
                        e ->
                                log.warn(
                                        "no_descriptor",
                                        "open",
                                        connectionManager.connectionCount(),
                                        "cause",
                                        e.getMessage()));
        timers.scheduleAtFixedRate(HOUSEKEEPING_INTERVAL, this::runHousekeeping);
    }

    /** Returns the port that it listens on. */
    int port() {
        return acceptor.port();
    }

    /**
     * Starts a warm-up. Its requests are answered until the startup timeout has passed after the
     * router became ready, because some may still be in flight then.
     */
    void warmUp(Warmup newWarmup) {
        warmup = newWarmup;
        newWarmup.start(new Address(config.listen().ip(), port()));
    }

    /** Answers empty queries from now on, which tells the load balancer to send clients. */
    void setReady() {
        ready = true;
        timers.schedule(limits.startupTimeout(), () -> warmup = null);
        readinessChecks.forEach(exchange -> exchange.answer(Encoder.emptyQueryResponse()));
        readinessChecks.clear();
    }

    /** Returns the monotonic time in microseconds. */
    long now() {
        return monotonicTime.advance(System.nanoTime() / 1_000);
    }

    // ---- accepting

    @Override
    public Span acceptPause() {
        if (connectionManager.connectionCount() >= maxConnections) {
            return null;
        }
        long now = now();
        return connectionManager.mayAccept(now) ? Span.ZERO : connectionManager.nextAcceptIn(now);
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
                enableKeepalive(channel);
            }
            address = ((InetSocketAddress) channel.getRemoteAddress()).getAddress();
        } catch (IOException e) {
            // The client has closed the connection already.
            counters.add(Ending.CLIENT_LEFT);
            new LoopSocket(channel, buffers, null).close();
            return;
        }
        evictForNewConnection();
        CloseReason refusal = connectionManager.refusalReason(address);
        ClientConnection client =
                new ClientConnection(channel, this, loopLag.lagAt(Clock.readMonotonic()));
        connectionManager.add(client, address, now());
        client.start();
        if (refusal != null) {
            log.warn(
                    "client_refused",
                    "reason",
                    refusal,
                    "address",
                    address,
                    "open",
                    connectionManager.connectionCount());
            client.closeForLimit(refusal, config.deployment().maxRetryAfter());
        } else if (draining) {
            client.drain();
        }
    }

    private void enableKeepalive(SocketChannel channel) throws IOException {
        int seconds = (int) Math.max(1, limits.keepalive().us() / 1_000_000);
        channel.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
        channel.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, seconds);
        channel.setOption(
                ExtendedSocketOptions.TCP_KEEPINTERVAL, Math.max(1, seconds / KEEPALIVE_PROBES));
        channel.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, KEEPALIVE_PROBES);
    }

    private void evictForNewConnection() {
        int failedEvictions = 0;
        TrackedConnection candidate = connectionManager.evictionCandidateIfFull();
        while (candidate != null && failedEvictions < MAX_FAILED_EVICTIONS) {
            failedEvictions += evict(candidate, CloseReason.GAVE_WAY) ? 0 : 1;
            candidate = connectionManager.evictionCandidateIfFull();
        }
    }

    /**
     * Closes a connection unless its client has just sent something, and returns whether it is
     * closed.
     */
    private boolean evict(TrackedConnection connection, CloseReason reason) {
        boolean wasClosing = connection.state() == ConnectionState.CLOSING;
        boolean closed = ((ClientConnection) connection).evict();
        if (closed && !wasClosing) {
            connectionManager.recordClose(reason);
        }
        return closed;
    }

    // ---- timeouts

    private void runHousekeeping() {
        Moment now = Clock.readMonotonic();
        Span lag = loopLag.lagAt(now);
        if (lag.longerThan(LAG_WARNING_THRESHOLD)) {
            log.warn("loop_stood", "ms", lag.us() / 1_000, "ready", ready);
        }
        timers.schedule(POLL_DELAY, () -> loopLag.recordPoll(now));
        closeExpired();
        closeSlowReaders(now());
        acceptor.tryResume();
        if (readScheduler.hasQueued()) {
            scheduleTurn();
        }
    }

    private void closeExpired() {
        long now = now();
        TrackedConnection due = connectionManager.nextExpired(now);
        for (int i = 0; i < CLOSE_BATCH_SIZE && due != null; i++) {
            ClientConnection client = (ClientConnection) due;
            CloseReason reason = connectionManager.expiryReason(due);
            if (due.state() == ConnectionState.CLOSING) {
                client.closeNow();
            } else if (reason == CloseReason.TOO_SLOW) {
                connectionManager.recordClose(reason);
                client.closeForError(new PgException(reason.sqlState, reason.message));
            } else {
                evict(due, reason);
            }
            due = connectionManager.nextExpired(now);
        }
        if (due != null) {
            timers.executeAfterPoll(this::closeExpired);
        }
    }

    private void closeSlowReaders(long now) {
        for (TrackedConnection due = unsentAnswers.nextToClose(now);
                due != null;
                due = unsentAnswers.nextToClose(now)) {
            CloseReason reason = unsentAnswers.closeReason();
            connectionManager.recordClose(reason);
            log.warn(
                    "client_owed",
                    "reason",
                    reason,
                    "bytes",
                    due.unsentBytes(),
                    "all",
                    budget.reserved(Use.UNSENT_ANSWERS));
            ((ClientConnection) due).closeNow();
        }
    }

    // ---- read scheduling

    /**
     * Returns whether a readable connection is to be read now. If not, it is queued and read in a
     * later turn.
     */
    boolean readNowOrEnqueue(ClientConnection client) {
        boolean readNow = readScheduler.readNowOrEnqueue(client, now(), logicTask.openRpcCount());
        if (!readNow && !turnScheduled) {
            // Right after the sockets that are ready now, and before the turns of commands.
            turnScheduled = true;
            timers.execute(this::runTurn);
        }
        return readNow;
    }

    /** Returns whether the connection is queued to be read. */
    boolean isQueued(ClientConnection client) {
        return readScheduler.isQueued(client);
    }

    private void scheduleTurn() {
        if (!turnScheduled) {
            turnScheduled = true;
            timers.executeAfterPoll(this::runTurn);
        }
    }

    /**
     * Reads queued connections for one turn. Sockets are polled before the next turn, so active
     * connections are read first.
     */
    private void runTurn() {
        turnScheduled = false;
        readScheduler.beginTurn(now());
        TrackedConnection next = readScheduler.poll(now(), logicTask.openRpcCount());
        while (next != null) {
            ((ClientConnection) next).readQueued();
            next = readScheduler.poll(now(), logicTask.openRpcCount());
        }
        if (readScheduler.hasQueued()
                && readScheduler.hasEligible(now(), logicTask.openRpcCount())) {
            scheduleTurn();
        }
    }

    /** Resets a connection's queue time to zero, after its data has been read. */
    void resetQueueTime(ClientConnection client) {
        readScheduler.resetQueueTime(client);
    }

    /** Returns how many bytes the next read may take. */
    int maxReadBytes() {
        return readScheduler.maxReadBytes();
    }

    /** Returns the number of a connection's unanswered commands at which reading pauses. */
    int maxPendingCommands() {
        return readScheduler.maxPendingCommands();
    }

    // ---- memory

    /**
     * Reserves memory for the beginning of a message.
     *
     * @param bytes the memory that it takes
     * @param reservedBytes how much of that is reserved already
     * @return whether the memory is reserved
     */
    boolean tryReserveMessage(int bytes, int reservedBytes) {
        int additionalBytes = bytes - reservedBytes;
        boolean reserved = inputBuffering.mayHoldMessage(bytes, additionalBytes);
        if (reserved) {
            resizeInput(additionalBytes);
        } else {
            budget.recordRefusal(Use.UNPROCESSED_INPUT);
            connectionManager.recordClose(CloseReason.NO_MEMORY);
        }
        return reserved;
    }

    /** Reserves memory for input that is held already, or releases it if the size is negative. */
    void resizeInput(int additionalBytes) {
        budget.forceReserve(Use.UNPROCESSED_INPUT, additionalBytes);
        if (additionalBytes < 0 && inputBuffering.hasWaiting() && !readAheadScheduled) {
            readAheadScheduled = true;
            timers.executeAfterPoll(this::resumeReadingAhead);
        }
    }

    private void resumeReadingAhead() {
        readAheadScheduled = false;
        for (TrackedConnection next = inputBuffering.pollReadable();
                next != null;
                next = inputBuffering.pollReadable()) {
            // The read itself follows when the socket is polled.
            ((ClientConnection) next).updateReadInterest();
            if (inputBuffering.isWaiting(next)) {
                return;
            }
        }
    }

    /**
     * Returns whether a connection may be read although commands that have arrived earlier are not
     * executed yet.
     */
    boolean mayReadAhead(ClientConnection client, int bufferedBytes) {
        return inputBuffering.mayReadAhead(client, bufferedBytes);
    }

    /** Returns whether a socket that was read at this time is to be read before an RPC starts. */
    boolean isLongAgo(long readAt) {
        return now() - readAt > UNNOTICED_WAIT.us();
    }

    /**
     * Returns whether the input of a connection may have waited so long to be read that its client
     * may have left since.
     */
    boolean mayHaveWaited(ClientConnection client) {
        return readScheduler
                .queueTime(client, now())
                .longer(loopLag.lagAt(Clock.readMonotonic()))
                .longerThan(UNNOTICED_WAIT);
    }

    /** Returns whether there is memory to hold an answer until those before it are written. */
    boolean mayHold(int answerBytes) {
        return budget.mayHold(answerBytes);
    }

    /**
     * Accounts for an exchange that has its answer and no longer its statement.
     *
     * @param held whether the answer waits for those before it
     */
    void accountForAnswer(Exchange exchange, boolean held) {
        if (exchange.rpcMemory != null) {
            exchange.rpcMemory.resizeTo(OPEN_RPC_BYTES + exchange.sessionChars());
        }
        if (held) {
            exchange.heldMemory = new MemoryReservation(budget, Use.HELD_ANSWERS);
            exchange.heldMemory.resizeTo(exchange.answerBytes());
        }
    }

    /** Records that the socket of a connection did not accept this many bytes. */
    void addUnsent(ClientConnection client, int bytes) {
        long now = now();
        unsentAnswers.add(client, bytes, now);
        if (budget.reserved(Use.UNSENT_ANSWERS) > limits.maxUnsentTotal()) {
            executeLater(() -> closeSlowReaders(now()));
        }
    }

    /** Records that the socket of a connection accepted this many of the unsent bytes. */
    void recordDrained(ClientConnection client, int bytes) {
        unsentAnswers.recordDrained(client, bytes, now());
    }

    /** Returns whether so many bytes are unsent that the connection must not be read from. */
    boolean isOverUnsentLimit(ClientConnection client) {
        return unsentAnswers.isOverClientLimit(client);
    }

    // ---- connection state

    /** Records the state of a connection, whose timeout starts now. */
    void setState(ClientConnection client, ConnectionState state) {
        connectionManager.setState(client, state, now());
    }

    /**
     * An answer has been written. Schedules a turn if connections are queued. If the RPC's customer
     * is over its limit of connections, evicts another of them that is idle.
     */
    void onAnswered(ClientConnection client, Exchange exchange) {
        if (readScheduler.hasQueued()) {
            scheduleTurn();
        }
        if (exchange.rpc != null) {
            TrackedConnection overLimit =
                    connectionManager.recordAnswer(client, exchange.rpc.customer, now());
            if (overLimit != null && overLimit != client) {
                executeLater(() -> evict(overLimit, CloseReason.CUSTOMER_FULL));
            }
        }
    }

    /** Runs an action on the event loop after the current one. */
    void executeLater(Runnable action) {
        timers.execute(action);
    }

    /** Counts and logs an unexpected exception. */
    void reportFault(RuntimeException fault) {
        timers.reportFault(fault);
    }

    /** Counts and logs input of a client that is malformed, too slow or finds no memory. */
    void recordInputError(PgException e) {
        counters.add(Count.MALFORMED);
        log.warn("client_malformed", "code", e.sqlState, "what", e.getMessage());
    }

    /**
     * Removes a closed connection.
     *
     * @param unanswered its first unanswered command, linked to the others; null if there is none
     */
    void onClosed(ClientConnection client, Ending ending, Exchange unanswered) {
        counters.add(ending);
        unsentAnswers.remove(client);
        connectionManager.remove(client);
        for (Exchange exchange = unanswered; exchange != null; ) {
            // An exchange may outlive its connection with its call-outs, and the others must not.
            Exchange next = exchange.next;
            exchange.next = null;
            abandon(exchange);
            exchange = next;
        }
        acceptor.tryResume();
        if (draining && connectionManager.connectionCount() == 0) {
            onDrained.run();
        }
    }

    private void abandon(Exchange exchange) {
        if (exchange.isAnswered()) {
            exchange.discard();
        }
        if (exchange.isRpc()) {
            logicTask.onClientLeft(exchange);
        }
    }

    // ---- commands

    /**
     * Executes one command.
     *
     * @throws PgException if the command is malformed or not supported
     */
    void execute(ClientConnection client, String sql) {
        Statement statement = Statement.parse(sql);
        if (!statement.attributes().isEmpty()) {
            startRpc(client, statement, sql.length());
        } else if (statement.text().isEmpty()) {
            Exchange exchange = client.addExchange(null);
            if (ready) {
                exchange.answer(Encoder.emptyQueryResponse());
            } else {
                readinessChecks.add(exchange);
            }
        } else {
            byte[] answer = show.answerTo(statement.text());
            if (answer == null) {
                throw new PgException(
                        PgException.FEATURE_NOT_SUPPORTED,
                        "a statement must begin with a comment that describes its RPC");
            }
            client.addExchange(null).answer(answer);
        }
    }

    private void startRpc(ClientConnection client, Statement statement, int sqlLength) {
        if (!client.isStillConnected()) {
            return;
        }
        byte[] warmupAnswer = warmup == null ? null : warmup.answerTo(statement);
        if (warmupAnswer != null) {
            client.addExchange(statement).answer(warmupAnswer);
            return;
        }
        NameIndex names = config.names();
        Method method = requireKnown(names.methods().get(statement.required("c")), "c");
        Customer customer =
                names.customers().isEmpty()
                        ? null
                        : requireKnown(names.customers().get(statement.required("t")), "t");
        Span deadline = Span.ofMillis(statement.requiredLong("d", 1, MAX_TIME_MS));
        if (deadline.longerThan(method.deadline().times(MAX_DEADLINE_MULTIPLE))) {
            throw new PgException(
                    PgException.SYNTAX_ERROR,
                    "the comment's d is far above the deadline of its method: "
                            + deadline.us()
                            + " us");
        }
        if (method.idempotency() == Idempotency.TOKENED) {
            statement.required("k");
        }
        long afterMs =
                statement.attributes().containsKey("after")
                        ? statement.requiredLong("after", 0, MAX_TIME_MS)
                        : 0;
        int bytes = OPEN_RPC_BYTES + 2 * sqlLength + statement.attributeOverheadBytes();
        Span queueTime = readScheduler.queueTime(client, now());
        Span inputDelay =
                queueTime.longer(client.takeInputDelay(loopLag.lagAt(Clock.readMonotonic())));
        boolean rejected = readScheduler.shouldPushBack(queueTime, bytes);
        LogicTask.RpcRequest request =
                new LogicTask.RpcRequest(
                        statement.required("id"),
                        method,
                        customer,
                        (int) statement.requiredLong("cluster", 0, Integer.MAX_VALUE),
                        rejected ? null : statement.rowKey(),
                        deadline,
                        afterMs,
                        "1".equals(statement.attributes().get("r")),
                        inputDelay,
                        rejected);
        logicTask.validate(request);
        Exchange exchange = client.addExchange(statement);
        exchange.rpcMemory = new MemoryReservation(budget, Use.OPEN_RPCS);
        if (rejected) {
            exchange.dropStatement();
        }
        exchange.rpcMemory.resizeTo(rejected ? OPEN_RPC_BYTES : bytes);
        logicTask.onRpcArrived(exchange, request);
    }

    private static <T> T requireKnown(T value, String key) {
        if (value == null) {
            throw new PgException(
                    PgException.SYNTAX_ERROR, "the comment's " + key + " has an unknown value");
        }
        return value;
    }

    // ---- shutdown

    /** Closes each connection between two requests, and runs the action once none is left. */
    void drain(Runnable action) {
        draining = true;
        onDrained = action;
        drainBatch();
        if (connectionManager.connectionCount() == 0) {
            onDrained.run();
        }
    }

    /**
     * Closes a batch of connections, so that requests of others are served before the next batch.
     * Busy connections close after their last answer.
     */
    private void drainBatch() {
        TrackedConnection next = connectionManager.evictionCandidate();
        for (int i = 0;
                i < CLOSE_BATCH_SIZE && next != null && connectionManager.connectionCount() > 0;
                i++) {
            if (next.state() == ConnectionState.CLOSING) {
                ((ClientConnection) next).closeNow();
            } else {
                ((ClientConnection) next).drain();
            }
            next = connectionManager.evictionCandidate();
        }
        if (next != null) {
            timers.executeAfterPoll(this::drainBatch);
        }
    }

    /** Returns whether {@link #drain} was called. */
    boolean isDraining() {
        return draining;
    }

    /** Stops accepting connections. */
    void stop() {
        if (acceptor != null) {
            acceptor.close();
        }
    }
}
