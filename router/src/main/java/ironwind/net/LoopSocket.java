package ironwind.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoOps;
import io.netty.channel.nio.NioSelectableChannelIoHandle;
import io.netty.util.internal.PlatformDependent;
import ironwind.config.Address;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One socket of a client or to a host on the loop that serves: the system's channel and nothing
 * above it. What is read and written passes through buffers of the loop; one of its own it has only
 * while the peer does not take what it is owed.
 */
final class LoopSocket extends NioSelectableChannelIoHandle<SocketChannel> {
    /** Of one turn, what is read from one client at most. */
    private static final int BUFFER_BYTES = 64 * 1024;

    private static final int CHUNK_BYTES = Buffers.PAGE_BYTES << Buffers.PAGES_AS_POWER;

    /** What happens on it. */
    interface Handler {
        /** What {@link #connect} began has come up. */
        default void onConnected() {}

        /** What {@link #connect} began never comes up. */
        default void onConnectFailed(IOException cause) {}

        /** Something has come, or the peer is gone: time to {@link #read}. */
        void onReadable();

        /** The system took so many bytes of what was left over. */
        void onWritten(int bytes);

        /** It is of no use any more. */
        void onFailure();
    }

    private final SocketChannel channel;
    private final Buffers buffers;
    private final Handler handler;
    private IoRegistration registration;
    private int interest;

    /** What the system has not taken; null where there is nothing. */
    private Deque<ByteBuf> left;

    /**
     * Buffers of the loop: two that are lent for the length of one call, and a pool beside the heap
     * for what the system does not take. On the heap it would grow old there, and each collection
     * of what is old stops everyone.
     */
    static final class Buffers {
        private static final int PAGE_BYTES = 8_192;

        /** A chunk of the pool is 256 KiB: some answers of the largest size. */
        private static final int PAGES_AS_POWER = 5;

        /**
         * Of the JVM's direct memory: asking for more than there is would make it collect and wait.
         */
        private static final double POOL_PART = 0.5;

        private final ByteBuffer in = ByteBuffer.allocateDirect(BUFFER_BYTES);
        private final ByteBuffer out = ByteBuffer.allocateDirect(BUFFER_BYTES);
        private final PooledByteBufAllocator pool =
                new PooledByteBufAllocator(true, 0, 1, PAGE_BYTES, PAGES_AS_POWER, 0, 0, false);
        private final long most = (long) (POOL_PART * PlatformDependent.maxDirectMemory());

        /** So many bytes, from the pool or, where it has no more, from the heap. */
        private ByteBuf lend(int bytes) {
            long pooled = pool.metric().usedDirectMemory();
            return pooled + bytes + CHUNK_BYTES > most
                    ? Unpooled.buffer(bytes, bytes)
                    : pool.directBuffer(bytes, bytes);
        }
    }

    LoopSocket(SocketChannel channel, Buffers buffers, Handler handler) {
        super(channel);
        this.channel = channel;
        this.buffers = buffers;
        this.handler = handler;
    }

    /**
     * Begins to connect, on the loop only; the owner hears of the end of it, later. An {@link
     * IOException} tells that the system has no descriptor.
     */
    static LoopSocket connect(IoEventLoop loop, Address to, Buffers buffers, Handler handler)
            throws IOException {
        SocketChannel channel = SocketChannel.open();
        LoopSocket socket = new LoopSocket(channel, buffers, handler);
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            if (channel.connect(new InetSocketAddress(to.ip(), to.port()))) {
                loop.execute(handler::onConnected);
            } else {
                socket.interest = SelectionKey.OP_CONNECT;
            }
            socket.register(loop);
        } catch (IOException refused) {
            loop.execute(() -> handler.onConnectFailed(refused));
        }
        return socket;
    }

    private void connected(SocketChannel ready) {
        want(interest & ~SelectionKey.OP_CONNECT);
        try {
            ready.finishConnect();
        } catch (IOException refused) {
            handler.onConnectFailed(refused);
            return;
        }
        handler.onConnected();
    }

    /** From now on it is looked at; on the loop only. */
    void register(IoEventLoop loop) {
        loop.register(this)
                .addListener(
                        result -> {
                            if (result.isSuccess()) {
                                registration = (IoRegistration) result.getNow();
                                apply();
                            } else {
                                handler.onFailure();
                            }
                        });
    }

    /** Whether it tells what comes. */
    void setReadInterest(boolean reading) {
        want(reading ? interest | SelectionKey.OP_READ : interest & ~SelectionKey.OP_READ);
    }

    private void want(int ops) {
        if (ops != interest) {
            interest = ops;
            apply();
        }
    }

    private void apply() {
        if (registration != null && registration.isValid()) {
            registration.submit(NioIoOps.valueOf(interest));
        }
    }

    @Override
    protected void handle(SocketChannel ready, SelectionKey key) {
        int ops;
        try {
            ops = key.readyOps();
        } catch (CancelledKeyException closedMeanwhile) {
            return;
        }
        if ((ops & SelectionKey.OP_CONNECT) != 0) {
            connected(ready);
            return;
        }
        if ((ops & SelectionKey.OP_WRITE) != 0) {
            handler.onWritten(flush());
        }
        if ((ops & SelectionKey.OP_READ) != 0 && ready.isOpen()) {
            handler.onReadable();
        }
    }

    /** What has come, up to a buffer full; empty where nothing has, null where the peer is gone. */
    byte[] read() {
        ByteBuffer in = buffers.in.clear();
        try {
            if (channel.read(in) < 0) {
                return null;
            }
        } catch (IOException reset) {
            return null;
        }
        byte[] bytes = new byte[in.flip().remaining()];
        in.get(bytes);
        return bytes;
    }

    /** Writes what the system takes, and keeps the rest; tells how many bytes that is. */
    int write(byte[]... parts) {
        int all = 0;
        for (byte[] part : parts) {
            all += part.length;
        }
        // What waits goes first: the system said that it takes no more.
        int written = left == null ? writeAtOnce(parts) : 0;
        if (written < all && channel.isOpen()) {
            keep(all - written, written, parts);
        }
        return channel.isOpen() ? all - written : 0;
    }

    private int writeAtOnce(byte[]... parts) {
        int sum = 0;
        ByteBuffer out = buffers.out.clear();
        try {
            for (byte[] part : parts) {
                int from = 0;
                while (from < part.length) {
                    if (!out.hasRemaining()) {
                        sum += channel.write(out.flip());
                        if (out.hasRemaining()) {
                            return sum;
                        }
                        out.clear();
                    }
                    int count = Math.min(part.length - from, out.remaining());
                    out.put(part, from, count);
                    from += count;
                }
            }
            return sum + channel.write(out.flip());
        } catch (IOException reset) {
            handler.onFailure();
            return sum;
        }
    }

    /** Keeps the last so many bytes of the parts, copied: what they came in is given up. */
    private void keep(int bytes, int skipped, byte[]... parts) {
        ByteBuf rest = buffers.lend(bytes);
        int skip = skipped;
        for (byte[] part : parts) {
            int from = Math.min(skip, part.length);
            rest.writeBytes(part, from, part.length - from);
            skip -= from;
        }
        left = left == null ? new ArrayDeque<>(2) : left;
        left.add(rest);
        want(interest | SelectionKey.OP_WRITE);
    }

    /** Writes what was kept, as far as the system takes it; tells how much that is. */
    private int flush() {
        int sum = 0;
        try {
            while (left != null) {
                ByteBuf first = left.peek();
                int count = first.readBytes(channel, first.readableBytes());
                sum += count;
                if (first.isReadable()) {
                    break;
                }
                left.poll().release();
                left = left.isEmpty() ? null : left;
            }
        } catch (IOException reset) {
            handler.onFailure();
        }
        if (left == null) {
            want(interest & ~SelectionKey.OP_WRITE);
        }
        return sum;
    }

    @Override
    public void close() {
        if (left != null) {
            left.forEach(ByteBuf::release);
            left = null;
        }
        if (registration != null) {
            registration.cancel();
        }
        try {
            channel.close();
        } catch (IOException gone) {
            // it is closed all the same
        }
    }
}
