package ironwind.net;

import ironwind.idle.CloseReason;
import ironwind.idle.ConnectionState;
import ironwind.idle.TrackedConnection;
import ironwind.model.Span;
import ironwind.pg.ClientMessage;
import ironwind.pg.Encoder;
import ironwind.pg.Frame;
import ironwind.pg.FrameDecoder;
import ironwind.pg.PgError;
import ironwind.pg.PgException;
import ironwind.pg.Statement;
import ironwind.pg.WireFormat;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;

/**
 * Connection of one client. Commands are executed as they arrive and answered in their order. An
 * idle connection holds no buffer, no list and no timer.
 */
final class ClientConnection extends TrackedConnection
        implements LoopSocket.Handler, Exchange.Owner {
    private static final byte[] NO_BYTES = {};

    private final LoopSocket socket;
    private final ClientConnections connections;

    /** Holds input that is not processed yet; null if there is none. */
    private FrameDecoder frameDecoder;

    /** Bytes of the memory budget that are reserved for that input. */
    private int reservedBytes;

    /** Answers that are written at the end of the current step; null if there are none. */
    private List<byte[]> output;

    /** When its socket was last read, in microseconds of the monotonic time. */
    private long readAt;

    /** Unanswered commands, a list linked by {@link Exchange#next}; null if there is none. */
    private Exchange firstPending;

    private Exchange lastPending;
    private int pendingCount;

    /**
     * Lag of the event loop when the connection was accepted. It is added to the delay of the first
     * RPC, and zero after that. Time during which accepting was paused is not included.
     */
    private Span acceptDelay;

    private boolean startupDone;
    private boolean hasAnsweredRpc;
    private boolean skippingToSync;
    private boolean processing;

    /**
     * How the connection ends once all its commands are answered; null if it is to stay open. No
     * more input is processed if it is {@link Ending#CLIENT_FATAL_ERROR}.
     */
    private Ending pendingEnding;

    /**
     * Whether a fatal error was written. The connection is not read any more and is closed after a
     * grace period in which the client can read the error.
     */
    private boolean closing;

    private boolean closed;

    /** Creates a connection for an accepted channel; {@link #start} begins to read from it. */
    ClientConnection(SocketChannel channel, ClientConnections connections, Span acceptDelay) {
        this.connections = connections;
        this.acceptDelay = acceptDelay;
        this.socket = new LoopSocket(channel, connections.buffers, this);
    }

    /** Registers the socket with the event loop. */
    void start() {
        socket.register(connections.loop);
        updateState();
    }

    // ---- input

    @Override
    public void onReadable() {
        connections.commandTurns.recordPoll(this);
        if (!closed && !wantsInput()) {
            updateReadInterest();
        } else if (!closed && connections.readNowOrEnqueue(this)) {
            read();
        } else {
            updateState();
        }
    }

    /** Reads from the socket when the read scheduler takes the connection from its queue. */
    void readQueued() {
        if (!closed) {
            read();
        }
    }

    private void read() {
        byte[] bytes = readSocket();
        if (connections.mayHaveWaited(this)) {
            bytes = readFurther(bytes);
        }
        if (bytes == null) {
            close(Ending.CLIENT_LEFT);
        } else {
            receive(bytes);
        }
    }

    /**
     * Reads on, as far as there is memory, to see whether the client has left: its commands must
     * not be executed then.
     *
     * @param bytes the bytes that were read first
     * @return the bytes that were read last; null if the client has left
     */
    private byte[] readFurther(byte[] bytes) {
        byte[] last = bytes;
        while (last != null && last.length > 0 && acceptsInput()) {
            buffer(last);
            connections.resizeInput(frameDecoder.bufferCapacity() - reservedBytes);
            reservedBytes = frameDecoder.bufferCapacity();
            last = connections.mayReadAhead(this, reservedBytes) ? readSocket() : NO_BYTES;
        }
        return last;
    }

    private byte[] readSocket() {
        readAt = connections.now();
        return socket.read(connections.maxReadBytes());
    }

    /**
     * Returns whether an RPC may be started for the client. If the socket was not read lately,
     * because many commands are buffered, it is read first; a connection whose client has left is
     * closed.
     */
    boolean isStillConnected() {
        if (!closed && connections.isLongAgo(readAt)) {
            boolean mayRead = connections.mayReadAhead(this, reservedBytes);
            if (mayRead && readFurther(readSocket()) == null) {
                close(Ending.CLIENT_LEFT);
            }
        }
        return !closed;
    }

    private void receive(byte[] bytes) {
        if (bytes.length > 0 && acceptsInput()) {
            buffer(bytes);
        }
        if (frameDecoder != null) {
            processInput();
        } else {
            updateState();
        }
        connections.resetQueueTime(this);
    }

    private boolean acceptsInput() {
        return pendingEnding != Ending.CLIENT_FATAL_ERROR;
    }

    private void buffer(byte[] bytes) {
        if (frameDecoder == null) {
            frameDecoder =
                    new FrameDecoder(
                            !startupDone, ClientMessage.TYPES, WireFormat.MAX_MESSAGE_BYTES);
        }
        frameDecoder.add(bytes);
    }

    /** Executes commands that have arrived earlier, in a turn of the connection. */
    void executeBufferedCommands() {
        processInput();
    }

    /**
     * Executes the commands that have arrived, until it is the turn of others, too many are
     * unanswered or too many bytes of answers are unsent.
     */
    private void processInput() {
        if (processing) {
            return;
        }
        processing = true;
        boolean handled = false;
        try {
            Frame frame = nextFrame();
            while (frame != null) {
                handled = true;
                connections.commandTurns.recordCommand(this);
                handle(ClientMessage.decode(frame));
                frame = nextFrame();
            }
            if (hasFurtherCommand()) {
                connections.commandTurns.defer(this);
            }
            updateReservation();
        } catch (PgException e) {
            closeForError(e);
        } finally {
            processing = false;
        }
        flush();
        updateState(handled);
    }

    private Frame nextFrame() {
        return mayExecute() && connections.commandTurns.mayExecute(this)
                ? frameDecoder.next()
                : null;
    }

    /** Returns whether commands are executed that have arrived, if it is the connection's turn. */
    private boolean mayExecute() {
        return frameDecoder != null
                && !closed
                && pendingEnding != Ending.CLIENT_FATAL_ERROR
                && !hasTooManyAnswersDue();
    }

    private boolean hasFurtherCommand() {
        return mayExecute() && frameDecoder.hasNext();
    }

    private boolean hasTooManyAnswersDue() {
        return pendingCount >= connections.maxPendingCommands()
                || connections.isOverUnsentLimit(this);
    }

    /**
     * Returns whether commands that have arrived are not executed yet; meanwhile, more are only
     * read ahead.
     */
    private boolean isExecutionPaused() {
        return hasTooManyAnswersDue() || connections.commandTurns.isWaiting(this);
    }

    /** Reserves memory for the input that is left, or discards the decoder if there is none. */
    private void updateReservation() {
        int size = frameDecoder == null ? 0 : frameDecoder.compact();
        if (size == 0) {
            frameDecoder = null;
        }
        if (size != reservedBytes) {
            // While execution is paused, the input may contain complete commands. They have been
            // accepted and must not be lost, so they may exceed the memory limit.
            if (size < reservedBytes || isExecutionPaused()) {
                connections.resizeInput(size - reservedBytes);
            } else if (!connections.tryReserveMessage(size, reservedBytes)) {
                throw new PgException(
                        CloseReason.NO_MEMORY.sqlState, CloseReason.NO_MEMORY.message);
            }
            reservedBytes = size;
        }
    }

    private void handle(ClientMessage message) {
        if (message instanceof ClientMessage.Query query) {
            execute(query.sql());
        } else if (message instanceof ClientMessage.Startup) {
            startupDone = true;
            frameDecoder.startupDone();
            write(Encoder.startupResponse());
        } else if (message instanceof ClientMessage.EncryptionRequest) {
            write(Encoder.encryptionRejectedResponse());
        } else if (message instanceof ClientMessage.ExtendedQuery) {
            if (!skippingToSync) {
                skippingToSync = true;
                answerError(
                        new PgException(
                                PgException.FEATURE_NOT_SUPPORTED,
                                "the extended query protocol is not supported"),
                        Encoder::errorResponse);
            }
        } else if (message instanceof ClientMessage.Sync) {
            skippingToSync = false;
            addExchange(null).answer(Encoder.readyForQuery());
        } else {
            close(Ending.CLIENT_LEFT);
        }
    }

    /**
     * Returns how long an RPC that is started now may have waited before it was read: the lag of
     * the event loop, and for the first RPC also the lag when the connection was accepted.
     */
    Span takeInputDelay(Span lag) {
        Span delay = lag.plus(acceptDelay);
        acceptDelay = Span.ZERO;
        return delay;
    }

    private void execute(String sql) {
        try {
            connections.execute(this, sql);
        } catch (PgException e) {
            answerError(e, Encoder::errorResponseAndReady);
        }
    }

    // ---- output

    /** Counts and logs malformed input, and answers it with an error that the encoder encodes. */
    private void answerError(PgException e, Function<PgError, byte[]> encoder) {
        connections.recordInputError(e);
        addExchange(null).answer(encoder.apply(new PgError(e.sqlState, e.getMessage(), null)));
    }

    /** Ends the connection with a fatal error, after the answers to the commands before it. */
    void closeForError(PgException e) {
        closeWithError(() -> answerError(e, Encoder::fatalErrorResponse));
    }

    /**
     * Ends the connection with a fatal error because of a limit of the router.
     *
     * @param retryAfter time after which the client may try again; zero leaves it out of the error
     */
    void closeForLimit(CloseReason reason, Span retryAfter) {
        PgError error =
                new PgError(reason.sqlState, reason.message, Timers.formatRetryAfter(retryAfter));
        closeWithError(() -> addExchange(null).answer(Encoder.fatalErrorResponse(error)));
    }

    private void closeWithError(Runnable writeError) {
        if (!closed && pendingEnding != Ending.CLIENT_FATAL_ERROR) {
            pendingEnding = Ending.CLIENT_FATAL_ERROR;
            discardInput();
            writeError.run();
            updateState();
        }
    }

    private void discardInput() {
        frameDecoder = null;
        connections.resizeInput(-reservedBytes);
        reservedBytes = 0;
    }

    /**
     * Appends a command to the unanswered ones.
     *
     * @param statement null if the command is not an RPC
     */
    Exchange addExchange(Statement statement) {
        Exchange exchange = new Exchange(statement, this);
        if (lastPending == null) {
            firstPending = exchange;
        } else {
            lastPending.next = exchange;
        }
        lastPending = exchange;
        pendingCount++;
        return exchange;
    }

    @Override
    public boolean hasRoomFor(Exchange exchange, int answerBytes) {
        return closed || exchange == firstPending || connections.mayHold(answerBytes);
    }

    @Override
    public void onAnswered(Exchange exchange) {
        if (closed) {
            exchange.discard();
        } else {
            connections.accountForAnswer(exchange, exchange != firstPending);
            writeAnswers();
        }
    }

    /** Writes the answers that are due, in the order of the commands. */
    private void writeAnswers() {
        while (firstPending != null && firstPending.isAnswered()) {
            Exchange exchange = firstPending;
            firstPending = exchange.next;
            exchange.next = null;
            lastPending = firstPending == null ? null : lastPending;
            pendingCount--;
            hasAnsweredRpc |= exchange.rpc != null;
            write(exchange.takeAnswer());
            connections.onAnswered(this, exchange);
        }
        processInput();
    }

    /**
     * Writes at the end of the current step, so that the answers of several commands go at once.
     */
    private void write(byte[]... parts) {
        if (!closed) {
            output = output == null ? new ArrayList<>() : output;
            output.addAll(Arrays.asList(parts));
        }
    }

    private void flush() {
        if (!closed && output != null) {
            byte[][] parts = output.toArray(new byte[0][]);
            output = null;
            int unsentBytes = socket.write(parts);
            if (unsentBytes > 0 && !closed) {
                connections.addUnsent(this, unsentBytes);
            }
        }
    }

    @Override
    public void onWritten(int bytes) {
        if (!closed) {
            connections.recordDrained(this, bytes);
            processInput();
        }
    }

    @Override
    public void onFailure() {
        // Deferred, because the caller may be in the middle of a write.
        connections.executeLater(() -> close(Ending.CLIENT_LEFT));
    }

    @Override
    public void onFault(RuntimeException fault) {
        connections.reportFault(fault);
        close(Ending.CLIENT_CLOSED_BY_ROUTER);
    }

    // ---- state and closing

    private void updateState() {
        updateState(false);
    }

    /**
     * Updates the connection's state and read interest. Closes the connection if it is to be closed
     * by the router, no command or message is in progress and all answers have left the process.
     *
     * @param restart whether the timeout starts again even if the state is the same
     */
    private void updateState(boolean restart) {
        if (closed || processing) {
            return;
        }
        if (pendingEnding == null && connections.isDraining()) {
            pendingEnding = Ending.CLIENT_CLOSED_BY_ROUTER;
        }
        // Unsent answers would be lost with the socket.
        boolean answersDue = firstPending != null || unsentBytes() > 0;
        if (!answersDue && pendingEnding == Ending.CLIENT_FATAL_ERROR) {
            closing = true;
        } else if (!answersDue
                && (frameDecoder == null || !startupDone)
                && pendingEnding == Ending.CLIENT_CLOSED_BY_ROUTER) {
            close(pendingEnding);
            return;
        }
        // While execution is paused, a message may be incomplete because the router does not read
        // it, not because the client is slow: the state is BUSY, to which no message timeout
        // applies.
        ConnectionState newState =
                closing
                        ? ConnectionState.CLOSING
                        : answersDue || isExecutionPaused()
                                ? ConnectionState.BUSY
                                : !startupDone
                                        ? ConnectionState.STARTUP
                                        : frameDecoder != null
                                                ? ConnectionState.RECEIVING
                                                : hasAnsweredRpc
                                                        ? ConnectionState.IDLE
                                                        : ConnectionState.AWAITING_FIRST_RPC;
        if (restart || newState != state()) {
            connections.setState(this, newState);
        }
        updateReadInterest();
    }

    /** Reads from the socket as far as there is a use and memory for it. */
    void updateReadInterest() {
        if (!closed) {
            socket.setReadInterest(!closing && !connections.isQueued(this) && wantsInput());
        }
    }

    /**
     * Returns whether there is a use and memory for input: while the client's earlier commands are
     * open, to see whether it leaves, but not while it only waits for its turn.
     */
    private boolean wantsInput() {
        return !isExecutionPaused()
                || hasTooManyAnswersDue() && connections.mayReadAhead(this, reservedBytes);
    }

    /** Closes the connection between two requests: now, or once all its commands are answered. */
    void drain() {
        pendingEnding = pendingEnding == null ? Ending.CLIENT_CLOSED_BY_ROUTER : pendingEnding;
        updateState();
    }

    /**
     * Closes the connection unless its client has just sent something: unread input is processed
     * first, so that no RPC is lost.
     *
     * @return whether the connection is closed
     */
    boolean evict() {
        if (!closed && !closing) {
            byte[] bytes = socket.read(connections.maxReadBytes());
            if (bytes != null && bytes.length > 0) {
                receive(bytes);
                return closed;
            }
        }
        close(pendingEnding == null ? Ending.CLIENT_CLOSED_BY_ROUTER : pendingEnding);
        return true;
    }

    /** Closes the connection at once, even in the middle of an answer. */
    void closeNow() {
        close(Ending.CLIENT_CLOSED_BY_ROUTER);
    }

    private void close(Ending ending) {
        if (!closed) {
            closed = true;
            socket.close();
            output = null;
            discardInput();
            Exchange unanswered = firstPending;
            firstPending = null;
            lastPending = null;
            connections.onClosed(this, ending, unanswered);
        }
    }
}
