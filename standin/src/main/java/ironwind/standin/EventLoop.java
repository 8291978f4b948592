package ironwind.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Supplier;

/**
 * A single-threaded event loop over a selector: accepts and opens connections and runs scheduled
 * tasks. Only {@link #execute}, {@link #listen} and {@link #close} may be called from other
 * threads.
 */
public final class EventLoop implements AutoCloseable {
    private static final int BUFFER_BYTES = 128 * 1024;
    private static final int ACCEPT_BACKLOG = 16_384;
    private static final int MAX_ACCEPTS_PER_EVENT = 64;
    private static final long MAX_SELECT_MS = 100;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Selector selector;
    private final Queue<Runnable> pendingTasks = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<ScheduledTask> scheduledTasks = new PriorityQueue<>();
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
    private final Thread thread;
    private long sequence;
    private volatile boolean stopped;

    /** Receives the events of one connection, on the loop's thread. */
    public interface Handler {
        /** The connection is established. */
        default void opened(Connection connection) {}

        /** Bytes arrived; the loop does not reuse the array. */
        void received(Connection connection, byte[] bytes);

        /**
         * The connection was closed by the peer, failed, or could not be established. Not called
         * after {@link Connection#close}.
         */
        default void closed(Connection connection) {}
    }

    private record ScheduledTask(long nanos, long sequence, Runnable task)
            implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            return nanos != other.nanos
                    ? Long.compare(nanos, other.nanos)
                    : Long.compare(sequence, other.sequence);
        }
    }

    /** Starts the loop on a daemon thread of the given name. */
    public EventLoop(String name) throws IOException {
        selector = Selector.open();
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Runs a task on the loop's thread as soon as possible. May be called from any thread. */
    public void execute(Runnable task) {
        pendingTasks.add(task);
        selector.wakeup();
    }

    /** Runs a task once {@link System#nanoTime} has reached {@code nanos}. */
    public void schedule(long nanos, Runnable task) {
        scheduledTasks.add(new ScheduledTask(nanos, sequence++, task));
    }

    /**
     * Listens on an address and returns the one that was bound; port 0 selects a free port. May be
     * called from any thread.
     *
     * @param handlers supplies the handler of each accepted connection
     */
    public InetSocketAddress listen(InetSocketAddress address, Supplier<Handler> handlers)
            throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(address, ACCEPT_BACKLOG);
        execute(() -> register(channel, SelectionKey.OP_ACCEPT, handlers));
        return (InetSocketAddress) channel.getLocalAddress();
    }

    /**
     * Opens a connection. A failure to connect is reported to {@link Handler#closed}, possibly
     * before this method returns.
     *
     * @param from local address to bind; null lets the system choose
     */
    public Connection connect(InetSocketAddress from, InetSocketAddress to, Handler handler) {
        return connect(from, to, handler, 0);
    }

    /**
     * Opens a connection with a given socket receive buffer.
     *
     * @param from local address to bind; null lets the system choose
     * @param receiveBuffer SO_RCVBUF in bytes; 0 keeps the system's default
     */
    public Connection connect(
            InetSocketAddress from, InetSocketAddress to, Handler handler, int receiveBuffer) {
        Connection connection = new Connection(this, handler);
        try {
            connection.channel = SocketChannel.open();
            connection.channel.configureBlocking(false);
            connection.channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            if (receiveBuffer > 0) {
                connection.channel.setOption(StandardSocketOptions.SO_RCVBUF, receiveBuffer);
            }
            if (from != null) {
                connection.channel.bind(from);
            }
            boolean connected = connection.channel.connect(to);
            connection.key =
                    connection.channel.register(
                            selector,
                            connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT,
                            connection);
            if (connected) {
                handler.opened(connection);
            }
        } catch (IOException e) {
            connection.closeAndNotify();
        }
        return connection;
    }

    private void register(ServerSocketChannel channel, int ops, Object attachment) {
        try {
            channel.register(selector, ops, attachment);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void run() {
        try {
            while (!stopped) {
                long wait =
                        scheduledTasks.isEmpty()
                                ? MAX_SELECT_MS
                                : Math.min(
                                        MAX_SELECT_MS,
                                        (scheduledTasks.peek().nanos - System.nanoTime())
                                                / NANOS_PER_MILLI);
                if (wait > 0 && pendingTasks.isEmpty()) {
                    selector.select(this::dispatch, wait);
                } else {
                    selector.selectNow(this::dispatch);
                }
                for (Runnable task = pendingTasks.poll();
                        task != null;
                        task = pendingTasks.poll()) {
                    task.run();
                }
                while (!scheduledTasks.isEmpty()
                        && scheduledTasks.peek().nanos <= System.nanoTime()) {
                    scheduledTasks.poll().task.run();
                }
            }
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
            selector.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void dispatch(SelectionKey key) {
        if (!key.isValid()) {
            return;
        } else if (key.attachment() instanceof Connection connection) {
            connection.handleEvents(key, readBuffer);
        } else if (key.attachment() instanceof Supplier<?> handlers) {
            accept((ServerSocketChannel) key.channel(), handlers);
        }
    }

    private void accept(ServerSocketChannel server, Supplier<?> handlers) {
        for (int i = 0; i < MAX_ACCEPTS_PER_EVENT; i++) {
            try {
                SocketChannel channel = server.accept();
                if (channel == null) {
                    return;
                }
                Connection connection = new Connection(this, (Handler) handlers.get());
                connection.channel = channel;
                channel.configureBlocking(false);
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                connection.key = channel.register(selector, SelectionKey.OP_READ, connection);
                connection.opened();
            } catch (IOException e) {
                return;
            }
        }
    }

    /** Stops the loop, closes its channels and waits for its thread. */
    @Override
    public void close() throws InterruptedException {
        stopped = true;
        selector.wakeup();
        thread.join();
    }
}
