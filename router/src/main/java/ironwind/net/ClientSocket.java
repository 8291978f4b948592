package ironwind.net;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoOps;
import io.netty.channel.nio.NioSelectableChannelIoHandle;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One client's socket on the loop that serves: the system's channel and nothing above it. What is read and written
 * passes through buffers of the loop; one of its own it has only while the client does not take what it is owed.
 */
final class ClientSocket extends NioSelectableChannelIoHandle<SocketChannel> {
    /** Of one turn, what is read from one client at most. */
    static final int BUFFER_BYTES = 64 * 1024;

    /** What happens on it. */
    interface Owner {
        /** Something has come, or the client is gone: time to {@link #read}. */
        void readable();

        /** The system took so many bytes of what was left over. */
        void taken(int bytes);

        /** It is of no use any more. */
        void broken();
    }

    private final SocketChannel channel;
    private final Buffers buffers;
    private final Owner owner;
    private IoRegistration registration;
    private int interest;
    /** What the system has not taken; null where there is nothing. */
    private Deque<ByteBuffer> left;

    /** Buffers of the loop, lent for the length of one call. */
    static final class Buffers {
        private final ByteBuffer in = ByteBuffer.allocateDirect(BUFFER_BYTES);
        private final ByteBuffer out = ByteBuffer.allocateDirect(BUFFER_BYTES);
    }

    ClientSocket(SocketChannel channel, Buffers buffers, Owner owner) {
        super(channel);
        this.channel = channel;
        this.buffers = buffers;
        this.owner = owner;
    }

    /** From now on it is looked at; on the loop only. */
    void register(IoEventLoop loop) {
        loop.register(this).addListener(result -> {
            if (result.isSuccess()) {
                registration = (IoRegistration) result.getNow();
                apply();
            } else {
                owner.broken();
            }
        });
    }

    /** Whether it tells what comes. */
    void listen(boolean reading) {
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
        if ((ops & SelectionKey.OP_WRITE) != 0) {
            owner.taken(flush());
        }
        if ((ops & SelectionKey.OP_READ) != 0 && ready.isOpen()) {
            owner.readable();
        }
    }

    /** What has come, up to a buffer full; empty where nothing has, null where the client is gone. */
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
        Deque<ByteBuffer> before = left;
        left = before == null ? new ArrayDeque<>(parts.length) : before;
        int more = 0;
        for (byte[] part : parts) {
            if (part.length > 0) {
                left.add(ByteBuffer.wrap(part));
                more += part.length;
            }
        }
        // What waits goes first: the system said that it takes no more.
        return before == null ? more - flush() : more;
    }

    private int flush() {
        int sum = 0;
        try {
            while (left != null) {
                ByteBuffer out = buffers.out.clear();
                for (ByteBuffer part : left) {
                    int count = Math.min(part.remaining(), out.remaining());
                    out.put(out.position(), part, part.position(), count);
                    out.position(out.position() + count);
                    if (!out.hasRemaining()) {
                        break;
                    }
                }
                int filled = out.flip().remaining();
                int count = filled == 0 ? 0 : channel.write(out);
                sum += count;
                drop(count);
                if (count < filled) {
                    break;
                }
            }
        } catch (IOException reset) {
            owner.broken();
        }
        want(left == null ? interest & ~SelectionKey.OP_WRITE : interest | SelectionKey.OP_WRITE);
        return sum;
    }

    private void drop(int bytes) {
        int rest = bytes;
        while (!left.isEmpty() && rest >= left.peek().remaining()) {
            rest -= left.poll().remaining();
        }
        if (left.isEmpty()) {
            left = null;
        } else {
            left.peek().position(left.peek().position() + rest);
        }
    }

    @Override
    public void close() {
        left = null;
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
