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
 * One thread with a selector: listens, connects, and runs what is due. All calls but {@link #post}
 * are its own.
 */
public final class EventLoop implements AutoCloseable {
    private static final int BUFFER_BYTES = 128 * 1024;
    private static final int QUEUE = 16_384;
    private static final int ACCEPTED_AT_ONCE = 64;
    private static final long LONGEST_WAIT_MS = 100;
    private static final long MILLION = 1_000_000;

    private final Selector selector;
    private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
    private final Thread thread;
    private long order;
    private volatile boolean over;

    /** What one connection's owner hears. */
    public interface Handler {
        /** It is up. */
        default void opened(Connection link) {}

        void received(Connection link, byte[] bytes);

        /** It has ended, or never came up; not told where the owner closed it. */
        default void closed(Connection link) {}
    }

    private record Due(long nanos, long order, Runnable action) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return nanos != other.nanos
                    ? Long.compare(nanos, other.nanos)
                    : Long.compare(order, other.order);
        }
    }

    public EventLoop(String name) throws IOException {
        selector = Selector.open();
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Runs an action on the loop, soon; from any thread. */
    public void post(Runnable action) {
        posted.add(action);
        selector.wakeup();
    }

    /** Runs an action once this {@link System#nanoTime} is reached. */
    public void at(long nanos, Runnable action) {
        due.add(new Due(nanos, order++, action));
    }

    /** Listens; port 0 takes any. Returns the address. From any thread. */
    public InetSocketAddress listen(InetSocketAddress at, Supplier<Handler> handlers)
            throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(at, QUEUE);
        post(() -> register(channel, SelectionKey.OP_ACCEPT, handlers));
        return (InetSocketAddress) channel.getLocalAddress();
    }

    /** Connects from an address of this machine; null leaves that to the system. */
    public Connection connect(InetSocketAddress from, InetSocketAddress to, Handler handler) {
        return connect(from, to, handler, 0);
    }

    /** The same, with so many bytes for what is not read yet; 0 leaves that to the system. */
    public Connection connect(
            InetSocketAddress from, InetSocketAddress to, Handler handler, int receiveBuffer) {
        Connection link = new Connection(this, handler);
        try {
            link.channel = SocketChannel.open();
            link.channel.configureBlocking(false);
            link.channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            if (receiveBuffer > 0) {
                link.channel.setOption(StandardSocketOptions.SO_RCVBUF, receiveBuffer);
            }
            if (from != null) {
                link.channel.bind(from);
            }
            boolean up = link.channel.connect(to);
            link.key =
                    link.channel.register(
                            selector, up ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, link);
            if (up) {
                handler.opened(link);
            }
        } catch (IOException e) {
            link.fail();
        }
        return link;
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
            while (!over) {
                long wait =
                        due.isEmpty()
                                ? LONGEST_WAIT_MS
                                : Math.min(
                                        LONGEST_WAIT_MS,
                                        (due.peek().nanos - System.nanoTime()) / MILLION);
                if (wait > 0 && posted.isEmpty()) {
                    selector.select(this::ready, wait);
                } else {
                    selector.selectNow(this::ready);
                }
                for (Runnable action = posted.poll(); action != null; action = posted.poll()) {
                    action.run();
                }
                while (!due.isEmpty() && due.peek().nanos <= System.nanoTime()) {
                    due.poll().action.run();
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

    private void ready(SelectionKey key) {
        if (!key.isValid()) {
            return;
        } else if (key.attachment() instanceof Connection link) {
            link.ready(key, buffer);
        } else if (key.attachment() instanceof Supplier<?> handlers) {
            accept((ServerSocketChannel) key.channel(), handlers);
        }
    }

    private void accept(ServerSocketChannel server, Supplier<?> handlers) {
        for (int i = 0; i < ACCEPTED_AT_ONCE; i++) {
            try {
                SocketChannel channel = server.accept();
                if (channel == null) {
                    return;
                }
                Connection link = new Connection(this, (Handler) handlers.get());
                link.channel = channel;
                channel.configureBlocking(false);
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                link.key = channel.register(selector, SelectionKey.OP_READ, link);
                link.opened();
            } catch (IOException e) {
                return;
            }
        }
    }

    @Override
    public void close() throws InterruptedException {
        over = true;
        selector.wakeup();
        thread.join();
    }
}
