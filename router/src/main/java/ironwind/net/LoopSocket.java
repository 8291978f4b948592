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
 * Socket of a client or host connection on the event loop: a non-blocking channel without a Netty
 * pipeline. Reads and writes go through buffers that all sockets share; a socket has memory of its
 * own only while the operating system does not accept what is written.
 */
final class LoopSocket extends NioSelectableChannelIoHandle<SocketChannel> {
    /** Size of the shared buffers. */
    private static final int BUFFER_BYTES = 64 * 1024;

    /** The most bytes that one read returns. */
    static final int MAX_READ_BYTES = BUFFER_BYTES;

    private static final int CHUNK_BYTES = Buffers.PAGE_BYTES << Buffers.CHUNK_ORDER;

    /** Receives the events of a socket, on the event loop. */
    interface Handler {
        /** Called when the connection that {@link #connect} began is established. */
        default void onConnected() {}

        /** Called when the connection that {@link #connect} began cannot be established. */
        default void onConnectFailed(IOException cause) {}

        /** Called when data has arrived or the peer has closed; {@link #read} tells which. */
        void onReadable();

        /** Called when this many bytes of the unsent data were written. */
        void onWritten(int bytes);

        /**
         * Called when the socket cannot be registered or a write fails, possibly from within {@link
         * #write}.
         */
        void onFailure();

        /**
         * Called when another method of the handler threw an unexpected exception: the connection
         * is to be ended. Without this the event loop would leave out all other sockets that are
         * ready, and then stand for a second.
         */
        void onFault(RuntimeException fault);
    }

    private final SocketChannel channel;
    private final Buffers buffers;
    private final Handler handler;
    private IoRegistration registration;
    private int interest;

    /** Data that the operating system has not accepted yet; null if there is none. */
    private Deque<ByteBuf> unsent;

    /**
     * Buffers that all sockets of a loop share: one for reads and one for writes, each used only
     * within one call, and a pool of direct memory for unsent data. On the heap, unsent data would
     * reach the old generation, whose collections stop the whole process.
     */
    static final class Buffers {
        private static final int PAGE_BYTES = 8_192;

        /**
         * A chunk of the pool has 256 KiB (the page size times 2 to this power), enough for a few
         * answers with values of the largest size.
         */
        private static final int CHUNK_ORDER = 5;

        /**
         * Fraction of the JVM's direct memory that the pool may use. An allocation above the JVM's
         * limit would wait for a garbage collection.
         */
        private static final double POOL_FRACTION = 0.5;

        private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
        private final ByteBuffer writeBuffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
        private final PooledByteBufAllocator pool =
                new PooledByteBufAllocator(true, 0, 1, PAGE_BYTES, CHUNK_ORDER, 0, 0, false);
        private final long maxPooledBytes =
                (long) (POOL_FRACTION * PlatformDependent.maxDirectMemory());

        /** Allocates a buffer from the pool, or from the heap if the pool is exhausted. */
        private ByteBuf allocate(int bytes) {
            long pooledBytes = pool.metric().usedDirectMemory();
            return pooledBytes + bytes + CHUNK_BYTES > maxPooledBytes
                    ? Unpooled.buffer(bytes, bytes)
                    : pool.directBuffer(bytes, bytes);
        }
    }

    /** Creates a socket for a connected channel; {@link #register} adds it to the event loop. */
    LoopSocket(SocketChannel channel, Buffers buffers, Handler handler) {
        super(channel);
        this.channel = channel;
        this.buffers = buffers;
        this.handler = handler;
    }

    /**
     * Starts to connect. Must be called on the event loop. The handler is called later with the
     * outcome.
     *
     * @throws IOException if no file descriptor is free
     */
    static LoopSocket connect(IoEventLoop loop, Address address, Buffers buffers, Handler handler)
            throws IOException {
        SocketChannel channel = SocketChannel.open();
        LoopSocket socket = new LoopSocket(channel, buffers, handler);
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            if (channel.connect(new InetSocketAddress(address.ip(), address.port()))) {
                loop.execute(handler::onConnected);
            } else {
                socket.interest = SelectionKey.OP_CONNECT;
            }
            socket.register(loop);
        } catch (IOException e) {
            loop.execute(() -> handler.onConnectFailed(e));
        }
        return socket;
    }

    private void finishConnect(SocketChannel ready) {
        setInterest(interest & ~SelectionKey.OP_CONNECT);
        try {
            ready.finishConnect();
        } catch (IOException e) {
            handler.onConnectFailed(e);
            return;
        }
        handler.onConnected();
    }

    /** Registers the socket with the event loop. Must be called on the loop. */
    void register(IoEventLoop loop) {
        loop.register(this)
                .addListener(
                        result -> {
                            if (result.isSuccess()) {
                                registration = (IoRegistration) result.getNow();
                                updateInterest();
                            } else {
                                handler.onFailure();
                            }
                        });
    }

    /** Sets whether the handler is called when the socket is readable. */
    void setReadInterest(boolean reading) {
        setInterest(reading ? interest | SelectionKey.OP_READ : interest & ~SelectionKey.OP_READ);
    }

    private void setInterest(int ops) {
        if (ops != interest) {
            interest = ops;
            updateInterest();
        }
    }

    private void updateInterest() {
        if (registration != null && registration.isValid()) {
            registration.submit(NioIoOps.valueOf(interest));
        }
    }

    @Override
    protected void handle(SocketChannel ready, SelectionKey key) {
        try {
            dispatch(ready, key);
        } catch (RuntimeException fault) {
            handler.onFault(fault);
        }
    }

    private void dispatch(SocketChannel ready, SelectionKey key) {
        int ops;
        try {
            ops = key.readyOps();
        } catch (CancelledKeyException e) {
            // The socket was closed in the meantime.
            return;
        }
        if ((ops & SelectionKey.OP_CONNECT) != 0) {
            finishConnect(ready);
            return;
        }
        if ((ops & SelectionKey.OP_WRITE) != 0) {
            handler.onWritten(flush());
        }
        if ((ops & SelectionKey.OP_READ) != 0 && ready.isOpen()) {
            handler.onReadable();
        }
    }

    /**
     * Reads up to the given number of bytes, and no more than {@link #MAX_READ_BYTES}. Returns an
     * empty array if none has arrived, and null if the peer has closed or the connection has
     * failed.
     */
    byte[] read(int maxBytes) {
        ByteBuffer buffer = buffers.readBuffer.clear();
        buffer.limit(Math.min(maxBytes, buffer.capacity()));
        try {
            if (channel.read(buffer) < 0) {
                return null;
            }
        } catch (IOException e) {
            return null;
        }
        byte[] bytes = new byte[buffer.flip().remaining()];
        buffer.get(bytes);
        return bytes;
    }

    /**
     * Writes what the operating system accepts and keeps the rest as unsent data.
     *
     * @return number of these bytes that are kept; zero if the socket is closed
     */
    int write(byte[]... parts) {
        int total = 0;
        for (byte[] part : parts) {
            total += part.length;
        }
        // Unsent data goes first, and the operating system has not accepted that yet.
        int written = unsent == null ? writeNow(parts) : 0;
        if (written < total && channel.isOpen()) {
            enqueue(total - written, written, parts);
        }
        return channel.isOpen() ? total - written : 0;
    }

    private int writeNow(byte[]... parts) {
        int written = 0;
        ByteBuffer buffer = buffers.writeBuffer.clear();
        try {
            for (byte[] part : parts) {
                int start = 0;
                while (start < part.length) {
                    if (!buffer.hasRemaining()) {
                        written += channel.write(buffer.flip());
                        if (buffer.hasRemaining()) {
                            return written;
                        }
                        buffer.clear();
                    }
                    int count = Math.min(part.length - start, buffer.remaining());
                    buffer.put(part, start, count);
                    start += count;
                }
            }
            return written + channel.write(buffer.flip());
        } catch (IOException e) {
            handler.onFailure();
            return written;
        }
    }

    /** Appends a copy of the parts' last bytes to the unsent data; the parts are not kept. */
    private void enqueue(int bytes, int offset, byte[]... parts) {
        ByteBuf rest = buffers.allocate(bytes);
        int skip = offset;
        for (byte[] part : parts) {
            int start = Math.min(skip, part.length);
            rest.writeBytes(part, start, part.length - start);
            skip -= start;
        }
        unsent = unsent == null ? new ArrayDeque<>(2) : unsent;
        unsent.add(rest);
        setInterest(interest | SelectionKey.OP_WRITE);
    }

    /** Writes unsent data as far as it is accepted, and returns the number of bytes written. */
    private int flush() {
        int written = 0;
        try {
            while (unsent != null) {
                ByteBuf first = unsent.peek();
                int count = first.readBytes(channel, first.readableBytes());
                written += count;
                if (first.isReadable()) {
                    break;
                }
                unsent.poll().release();
                unsent = unsent.isEmpty() ? null : unsent;
            }
        } catch (IOException e) {
            handler.onFailure();
        }
        if (unsent == null) {
            setInterest(interest & ~SelectionKey.OP_WRITE);
        }
        return written;
    }

    @Override
    public void close() {
        if (unsent != null) {
            unsent.forEach(ByteBuf::release);
            unsent = null;
        }
        if (registration != null) {
            registration.cancel();
        }
        try {
            channel.close();
        } catch (IOException e) {
            // The channel is closed nevertheless.
        }
    }
}
