package ironwind.net;

import ironwind.idle.MemoryBudget.Use;
import ironwind.idle.MemoryReservation;
import ironwind.model.Moment;
import ironwind.pg.Encoder;
import ironwind.pg.Frame;
import ironwind.pg.FrameDecoder;
import ironwind.pg.HostMessage;
import ironwind.pg.PgException;
import java.io.IOException;
import java.net.ConnectException;

/**
 * A connection to a host. After the startup sequence it carries one request at a time and is
 * returned to the pool in between.
 */
final class HostConnection implements LoopSocket.Handler {
    private static final String USER = "client";
    private static final String DATABASE = "core";

    /** Largest size of a whole answer, as a multiple of the largest size of one message. */
    private static final long MAX_ANSWER_MESSAGES = 2;

    final String hostId;
    private final HostConnectionPool pool;
    private final FrameDecoder decoder;
    private LoopSocket socket;
    private boolean ready;
    private boolean closed;

    /** Whether {@link #onMessageTimeout} is scheduled. */
    private boolean messageTimeoutScheduled;

    /** Memory of what has been read and not passed on yet, and of the next read. */
    private MemoryReservation inputMemory;

    /** Memory of the part of a request that the socket has not accepted yet. */
    private final MemoryReservation requestMemory;

    /** Size that {@link #inputMemory} must have before reading resumes; zero if it isn't paused. */
    private long awaitedBytes;

    /** The current request; null if the connection is idle. */
    private Request request;

    private HostAnswer answer = new HostAnswer();

    /**
     * Precedes each request but the first. All that the host wrote before it read this comes before
     * the response to it, and so can't be taken for the answer to the request.
     */
    private static final byte[] FENCE = Encoder.queryMessage("");

    /** Whether the connection has carried a request. */
    private boolean used;

    /** What has to come before the answer to the current request. */
    private FenceState fence = FenceState.PASSED;

    /** Whether writing the request has begun. */
    private boolean writeStarted;

    /** Bytes of the request that the socket has not accepted yet. */
    private int unwrittenBytes;

    /** When the connection was opened. */
    final Moment openedAt = Clock.read();

    /** When the connection was last returned to the pool. */
    Moment idleSince = Moment.NEVER;

    /** How far the response to a fence, an empty query, has arrived. */
    private enum FenceState {
        /** Nothing has arrived. */
        SENT,
        /** The EmptyQueryResponse has arrived. */
        ANSWERED,
        /** The response is complete, or no fence was sent. */
        PASSED
    }

    /** A request that occupies the connection until it ends. */
    interface Request {
        /**
         * The connection is ready: the request is to be written with {@link HostConnection#write},
         * or given up with {@link HostConnection#releaseUnsent}.
         */
        void onConnected();

        /**
         * The request has ended. The connection calls this once, and not at all after {@link
         * HostConnection#giveUp} or {@link HostConnection#releaseUnsent}.
         *
         * @param answer what the host sent; null if no connection could be acquired or the request
         *     was given up
         */
        void onEnded(Ending ending, HostAnswer answer);
    }

    HostConnection(String hostId, HostConnectionPool pool, Request request) {
        this.hostId = hostId;
        this.pool = pool;
        this.decoder = new FrameDecoder(false, HostMessage.TYPES, pool.maxMessageBytes);
        this.request = request;
        this.inputMemory = pool.newReservation(Use.PARTIAL_ANSWERS);
        this.requestMemory = pool.newReservation(Use.UNSENT_REQUESTS);
    }

    /** Whether the startup sequence is complete. */
    boolean isReady() {
        return ready;
    }

    /** Sets the socket, which is still connecting. */
    void attach(LoopSocket connecting) {
        socket = connecting;
    }

    /** Starts the startup sequence. */
    @Override
    public void onConnected() {
        if (!closed) {
            socket.setReadInterest(true);
            socket.write(Encoder.startupMessage(USER, DATABASE));
        }
    }

    @Override
    public void onConnectFailed(IOException cause) {
        failConnect(
                cause instanceof ConnectException
                        ? Ending.CONNECTION_REFUSED
                        : Ending.NOT_ESTABLISHED);
    }

    /**
     * Reads the socket of an idle connection, and ends the connection if the host has sent data or
     * closed it.
     *
     * @return whether the connection is open
     */
    boolean checkIdle() {
        onReadable();
        return !closed;
    }

    /** Assigns the next request to an idle connection. */
    void assign(Request next) {
        request = next;
    }

    /** Writes the request. What the socket does not accept at once is written later. */
    void write(byte[] bytes) {
        answer = new HostAnswer();
        writeStarted = true;
        boolean fenced = used && pool.fencesRequests;
        used = true;
        if (fenced) {
            fence = FenceState.SENT;
            unwrittenBytes = socket.write(FENCE, bytes);
        } else {
            unwrittenBytes = socket.write(bytes);
        }
        requestMemory.resizeTo(closed ? 0 : unwrittenBytes);
    }

    @Override
    public void onWritten(int bytes) {
        unwrittenBytes = Math.max(0, unwrittenBytes - bytes);
        requestMemory.resizeTo(closed ? 0 : unwrittenBytes);
    }

    /** Gives up the request before it is written, and returns the connection to the pool. */
    void releaseUnsent() {
        request = null;
        pool.release(this);
    }

    /**
     * Gives up the request, which is not notified. Closes the connection unless it is still being
     * established: then another request can use it.
     *
     * @return whether the request was written completely and may have run
     */
    boolean giveUp() {
        boolean mayHaveRun = isRequestWritten();
        request = null;
        if (ready || closed) {
            close();
        } else {
            pool.keepUnestablished(this);
        }
        return mayHaveRun;
    }

    private boolean isRequestWritten() {
        return writeStarted && unwrittenBytes == 0;
    }

    @Override
    public void onReadable() {
        if (!closed && !reserveOrPause(heldBytes() + LoopSocket.MAX_READ_BYTES)) {
            return;
        }
        byte[] bytes = closed ? null : socket.read(LoopSocket.MAX_READ_BYTES);
        if (bytes == null) {
            onDisconnected();
        } else if (bytes.length > 0) {
            onBytes(bytes);
        }
        if (!closed) {
            reserveForRestOfMessage();
        }
    }

    private void onBytes(byte[] bytes) {
        if (ready && !isRequestWritten() && fence == FenceState.PASSED) {
            // Data after the end of an answer, or before the request was written completely: from
            // here on, answers cannot be matched to requests.
            pool.logUnsolicitedData(this, bytes.length);
            endWith(request == null ? Ending.UNSOLICITED_DATA : Ending.LOST_BEFORE_SENT);
            return;
        }
        try {
            decoder.add(bytes);
            if (ready && fence == FenceState.PASSED) {
                answer.recordArrival(Clock.read());
            }
            for (Frame frame = decoder.next(); frame != null && !closed; frame = decoder.next()) {
                HostMessage message = HostMessage.decode(frame);
                onMessage(message);
            }
            if (!closed && decoder.hasBufferedBytes() && !messageTimeoutScheduled) {
                messageTimeoutScheduled = true;
                pool.scheduleTimeout(
                        () -> {
                            messageTimeoutScheduled = false;
                            onMessageTimeout();
                        });
            }
        } catch (PgException e) {
            onMalformed(e);
        }
    }

    private void onMessage(HostMessage message) {
        if (fence != FenceState.PASSED) {
            onFenceMessage(message);
        } else if (ready && !isRequestWritten()) {
            throw new PgException(
                    PgException.PROTOCOL_VIOLATION, "an answer to an incomplete request");
        } else if (message instanceof HostMessage.ReadyForQuery) {
            onReadyForQuery();
        } else {
            addToAnswer(message);
        }
    }

    private void onFenceMessage(HostMessage message) {
        if (message instanceof HostMessage.EmptyQueryResponse && fence == FenceState.SENT) {
            fence = FenceState.ANSWERED;
        } else if (message instanceof HostMessage.ReadyForQuery && fence == FenceState.ANSWERED) {
            fence = FenceState.PASSED;
            if (decoder.hasBufferedBytes()) {
                answer.recordArrival(Clock.read());
            }
        } else if (!(message instanceof HostMessage.ParameterStatus)
                && !(message instanceof HostMessage.Ignored)) {
            throw new PgException(
                    PgException.PROTOCOL_VIOLATION, "data that belongs to no request");
        }
    }

    private void addToAnswer(HostMessage message) {
        answer.add(message);
        if (answer.heldBytes() > MAX_ANSWER_MESSAGES * pool.maxMessageBytes) {
            throw new PgException(
                    PgException.PROGRAM_LIMIT_EXCEEDED, "an answer is too large in all");
        }
    }

    // ---- memory

    /** Returns the bytes of the answer so far and of the whole of an incomplete message. */
    private long heldBytes() {
        return answer.heldBytes() + Math.max(decoder.bufferCapacity(), decoder.expectedBytes());
    }

    /**
     * Reserves memory for the whole of an incomplete message before more of it is read, so that
     * every message that has begun can be completed. Memory that the last read did not need is
     * released.
     */
    private void reserveForRestOfMessage() {
        long held = heldBytes();
        if (held < inputMemory.bytes()) {
            inputMemory.resizeTo(held);
        } else {
            reserveOrPause(held);
        }
    }

    /** Reserves memory for input, or pauses reading until it is reserved. */
    private boolean reserveOrPause(long bytes) {
        if (awaitedBytes == 0 && !pool.tryReserveInput(this, inputMemory, bytes)) {
            awaitedBytes = bytes;
            socket.setReadInterest(false);
        }
        return awaitedBytes == 0;
    }

    /** Resumes reading if the memory that the connection waits for can be reserved now. */
    boolean tryResume() {
        boolean reserved = inputMemory.tryGrowTo(awaitedBytes);
        if (reserved) {
            awaitedBytes = 0;
            socket.setReadInterest(true);
        }
        return reserved;
    }

    /** Hands the memory of a finished answer over to it. */
    private void handOverMemory(HostAnswer finished) {
        MemoryReservation memory = inputMemory;
        inputMemory = pool.newReservation(Use.PARTIAL_ANSWERS);
        memory.resizeTo(finished.heldBytes());
        finished.takeOver(memory);
    }

    private void onMalformed(PgException cause) {
        pool.logMalformedData(this, cause);
        endWith(isRequestWritten() ? Ending.MALFORMED_ANSWER : Ending.LOST_BEFORE_SENT);
    }

    /**
     * Ends the connection if a message has not arrived completely in time. Guards against an answer
     * that begins and never ends: its host need not count as silent, and all connections that wait
     * for memory would keep waiting.
     */
    private void onMessageTimeout() {
        if (!closed && decoder.hasBufferedBytes()) {
            onMalformed(
                    new PgException(
                            PgException.PROTOCOL_VIOLATION,
                            "the rest of a message did not arrive in time"));
        }
    }

    private void onReadyForQuery() {
        if (!ready) {
            ready = true;
            answer = new HostAnswer();
            if (decoder.hasBufferedBytes()) {
                throw new PgException(
                        PgException.PROTOCOL_VIOLATION, "data after the startup sequence");
            } else if (request == null) {
                pool.release(this);
            } else {
                request.onConnected();
            }
        } else {
            Request ended = request;
            HostAnswer received = answer;
            request = null;
            writeStarted = false;
            answer = new HostAnswer();
            handOverMemory(received);
            if (decoder.hasBufferedBytes() || !received.isComplete()) {
                close();
            } else {
                pool.release(this);
            }
            ended.onEnded(received.ending(), received);
        }
    }

    @Override
    public void onFailure() {
        // Deferred, because the caller may be in the middle of a write.
        pool.execute(this::onDisconnected);
    }

    @Override
    public void onFault(RuntimeException fault) {
        pool.reportFault(fault);
        if (!closed) {
            endWith(isRequestWritten() ? Ending.MALFORMED_ANSWER : Ending.LOST_BEFORE_SENT);
        }
    }

    /** The connection is lost. An answer that is complete by then still counts. */
    private void onDisconnected() {
        if (closed) {
            return;
        }
        if (request == null) {
            endWith(Ending.CLOSED_BY_HOST);
        } else if (answer.isComplete()) {
            endWith(answer.ending());
        } else {
            endWith(isRequestWritten() ? Ending.LOST_AFTER_SENT : Ending.LOST_BEFORE_SENT);
        }
    }

    /** Ends the connection unless its startup sequence is complete. */
    void failConnect(Ending ending) {
        if (!closed && !ready) {
            endWith(ending);
        }
    }

    private void endWith(Ending ending) {
        Request ended = request;
        HostAnswer received = answer;
        request = null;
        if (ended != null) {
            handOverMemory(received);
        }
        close();
        if (ended == null) {
            pool.recordEnding(ending);
        } else {
            ended.onEnded(ending, received);
        }
    }

    /** Closes the connection without notifying its request. */
    void close() {
        if (!closed) {
            closed = true;
            pool.remove(this);
            inputMemory.release();
            requestMemory.release();
            // The descriptor is freed now, or in any case before another socket is opened.
            socket.close();
            pool.onSocketClosed();
        }
    }
}
