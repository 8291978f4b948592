package ironwind.lab;

import ironwind.pg.Encoder;
import ironwind.pg.Frame;
import ironwind.pg.Frames;
import ironwind.pg.HostMessage;
import ironwind.standin.Connection;
import ironwind.standin.EventLoop;
import java.net.InetSocketAddress;

/**
 * One client's connection: asks, and tells how each question was answered. Silent, it holds next to
 * nothing.
 */
final class AsyncClient implements EventLoop.Handler {
    private static final int LARGEST = 1 << 22;

    /** How a question, or the connection, came out. */
    enum Answer {
        OK,
        PUSHED_BACK,
        ABORTED,
        CLOSED
    }

    /** Hears of the end of each question; {@code asked} is the time given with it. */
    interface Listener {
        void answered(AsyncClient client, Answer answer, long asked);

        /** The connection is up and welcomed. */
        default void greeted(AsyncClient client) {}

        /** It ended while nothing was asked on it. */
        default void ended(AsyncClient client) {}
    }

    private Listener listener;
    private Connection connection;
    private Frames frames;
    private boolean greeted;
    private boolean row;
    private Answer answer;
    private long asked = -1;

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

    /** From now on this one hears of it. */
    void listenTo(Listener next) {
        listener = next;
    }

    boolean isFree() {
        return greeted && asked < 0 && connection.isOpen();
    }

    boolean isOpen() {
        return connection != null && connection.isOpen();
    }

    /** Sends a read; {@code at} is kept for the answer. */
    void read(String id, String key, long waitsMs, long at) {
        asked = at;
        row = false;
        answer = null;
        connection.write(
                Encoder.query(
                        "/* id="
                                + id
                                + ",c=read,d="
                                + waitsMs
                                + ",cluster=0,t=one */ "
                                + "SELECT val FROM state WHERE uid = '"
                                + key
                                + "'"));
    }

    /** Sends many, and reads nothing. */
    void readDeaf(String id, String key, long waitsMs, int times) {
        connection.setReadingPaused(true);
        for (int i = 0; i < times; i++) {
            read(id + "-" + i, key, waitsMs, System.nanoTime());
        }
    }

    @Override
    public void opened(Connection up) {
        connection = up;
        connection.write(Encoder.startup("client", "core"));
    }

    @Override
    public void received(Connection from, byte[] bytes) {
        if (frames == null) {
            frames = new Frames(false, HostMessage.TYPES, LARGEST);
        }
        frames.add(bytes);
        for (Frame frame = frames.next(); frame != null; frame = frames.next()) {
            switch (frame.type()) {
                case 'D' -> row = true;
                case 'E' -> answer = isPushback(frame) ? Answer.PUSHED_BACK : Answer.ABORTED;
                case 'Z' -> ready();
                default -> {}
            }
        }
        if (!frames.midway()) {
            frames = null;
        }
    }

    private static boolean isPushback(Frame frame) {
        return HostMessage.decode(frame) instanceof HostMessage.Failed failed
                && (failed.failure().code().equals("53300")
                        || failed.failure().code().equals("57P03"));
    }

    private void ready() {
        if (!greeted) {
            greeted = true;
            listener.greeted(this);
        } else if (asked >= 0) {
            end(answer != null ? answer : row ? Answer.OK : Answer.ABORTED);
        }
    }

    private void end(Answer how) {
        long at = asked;
        asked = -1;
        listener.answered(this, how, at);
    }

    @Override
    public void closed(Connection from) {
        if (asked >= 0) {
            // A fatal error needs no ReadyForQuery behind it.
            end(answer != null ? answer : Answer.CLOSED);
        } else {
            listener.ended(this);
        }
    }
}
