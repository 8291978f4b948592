package ironwind.lab;

import ironwind.pg.Encoder;
import ironwind.pg.Frame;
import ironwind.pg.FrameDecoder;
import ironwind.pg.HostMessage;
import ironwind.standin.Connection;
import ironwind.standin.EventLoop;
import java.net.InetSocketAddress;

/**
 * A client connection on an event loop that sends reads and reports the outcome of each. It has at
 * most one outstanding request, except in {@link #sendReadsPaused}, and keeps a receive buffer only
 * while a message is incomplete, so that large numbers of idle clients fit into one process.
 */
final class AsyncClient implements EventLoop.Handler {
    private static final int MAX_MESSAGE_BYTES = 1 << 22;

    /** The outcome of a request. The names are written to the output of the benchmarks. */
    enum Outcome {
        /** A row was returned. */
        OK,
        /** The router refused the request with SQLSTATE 53300 or 57P03. */
        PUSHED_BACK,
        /** The request failed with another error, or returned no row. */
        ABORTED,
        /** The connection was closed before a response. */
        CLOSED
    }

    /** Receives the outcome of each request. */
    interface Listener {
        /** A request completed; {@code startNanos} is the time passed to {@link #sendRead}. */
        void completed(AsyncClient client, Outcome outcome, long startNanos);

        /** The startup handshake completed. */
        default void ready(AsyncClient client) {}

        /**
         * The connection was closed, or could not be established, while no request was outstanding.
         */
        default void closedWhileIdle(AsyncClient client) {}
    }

    private Listener listener;
    private Connection connection;
    private FrameDecoder frameDecoder;
    private boolean ready;
    private boolean rowReceived;
    private Outcome error;

    /** Start time of the outstanding request; -1 if there is none. */
    private long pendingSince = -1;

    AsyncClient(Listener listener) {
        this.listener = listener;
    }

    static AsyncClient connect(
            EventLoop loop, InetSocketAddress from, InetSocketAddress to, Listener listener) {
        return connect(loop, from, to, listener, 0);
    }

    static AsyncClient connect(
            EventLoop loop,
            InetSocketAddress from,
            InetSocketAddress to,
            Listener listener,
            int receiveBuffer) {
        AsyncClient client = new AsyncClient(listener);
        client.connection = loop.connect(from, to, client, receiveBuffer);
        return client;
    }

    /** Replaces the listener. */
    void setListener(Listener replacement) {
        listener = replacement;
    }

    /** Whether the connection is open, started up and has no outstanding request. */
    boolean isIdle() {
        return ready && pendingSince < 0 && connection.isOpen();
    }

    boolean isOpen() {
        return connection != null && connection.isOpen();
    }

    /** Sends a read; {@code startNanos} is passed to the listener with its outcome. */
    void sendRead(String id, String key, long deadlineMs, long startNanos) {
        pendingSince = startNanos;
        rowReceived = false;
        error = null;
        connection.write(
                Encoder.queryMessage(
                        "/* id="
                                + id
                                + ",c=read,d="
                                + deadlineMs
                                + ",cluster=0,t=one */ "
                                + "SELECT val FROM state WHERE uid = '"
                                + key
                                + "'"));
    }

    /** Pauses reading and sends a number of reads, whose responses are never read. */
    void sendReadsPaused(String id, String key, long deadlineMs, int count) {
        connection.setReadingPaused(true);
        for (int i = 0; i < count; i++) {
            sendRead(id + "-" + i, key, deadlineMs, System.nanoTime());
        }
    }

    @Override
    public void opened(Connection opened) {
        connection = opened;
        connection.write(Encoder.startupMessage("client", "core"));
    }

    @Override
    public void received(Connection source, byte[] bytes) {
        if (frameDecoder == null) {
            frameDecoder = new FrameDecoder(false, HostMessage.TYPES, MAX_MESSAGE_BYTES);
        }
        frameDecoder.add(bytes);
        for (Frame frame = frameDecoder.next(); frame != null; frame = frameDecoder.next()) {
            switch (frame.type()) {
                case 'D' -> rowReceived = true;
                case 'E' -> error = isPushback(frame) ? Outcome.PUSHED_BACK : Outcome.ABORTED;
                case 'Z' -> handleReadyForQuery();
                default -> {}
            }
        }
        if (!frameDecoder.hasBufferedBytes()) {
            frameDecoder = null;
        }
    }

    private static boolean isPushback(Frame frame) {
        return HostMessage.decode(frame) instanceof HostMessage.ErrorResponse response
                && (response.error().sqlState().equals("53300")
                        || response.error().sqlState().equals("57P03"));
    }

    private void handleReadyForQuery() {
        if (!ready) {
            ready = true;
            listener.ready(this);
        } else if (pendingSince >= 0) {
            complete(error != null ? error : rowReceived ? Outcome.OK : Outcome.ABORTED);
        }
    }

    private void complete(Outcome outcome) {
        long startNanos = pendingSince;
        pendingSince = -1;
        listener.completed(this, outcome, startNanos);
    }

    @Override
    public void closed(Connection source) {
        if (pendingSince >= 0) {
            // ReadyForQuery does not follow a fatal error.
            complete(error != null ? error : Outcome.CLOSED);
        } else {
            listener.closedWhileIdle(this);
        }
    }
}
