package ironwind.standin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;

/** One connection of a {@link EventLoop}. */
public final class Connection {
    private final EventLoop loop;
    private final EventLoop.Handler handler;
    SocketChannel channel;
    SelectionKey key;
    private Deque<ByteBuffer> left;
    private boolean closed;
    private boolean up;
    private boolean deaf;

    Connection(EventLoop loop, EventLoop.Handler handler) {
        this.loop = loop;
        this.handler = handler;
    }

    public boolean isOpen() {
        return up && !closed;
    }

    public EventLoop loop() {
        return loop;
    }

    void opened() {
        up = true;
        handler.opened(this);
    }

    void ready(SelectionKey ready, ByteBuffer buffer) {
        try {
            if (ready.isConnectable()) {
                channel.finishConnect();
                want();
                opened();
            }
            if (!closed && ready.isValid() && ready.isWritable()) {
                flush();
            }
            if (!closed && ready.isValid() && ready.isReadable()) {
                int count = channel.read(buffer.clear());
                if (count < 0) {
                    fail();
                } else if (count > 0) {
                    byte[] bytes = new byte[count];
                    buffer.flip().get(bytes);
                    handler.received(this, bytes);
                }
            }
        } catch (IOException e) {
            fail();
        }
    }

    /** Sends; what the system does not take waits, without bound. */
    public void write(byte[]... parts) {
        if (closed) {
            return;
        }
        left = left == null ? new ArrayDeque<>() : left;
        for (byte[] part : parts) {
            left.add(ByteBuffer.wrap(part));
        }
        try {
            flush();
        } catch (IOException e) {
            fail();
        }
    }

    private void flush() throws IOException {
        while (left != null) {
            if (left.isEmpty()) {
                left = null;
            } else {
                channel.write(left.peek());
                if (left.peek().hasRemaining()) {
                    break;
                }
                left.poll();
            }
        }
        want();
    }

    /** Reads no more, or again. */
    public void deaf(boolean stops) {
        deaf = stops;
        want();
    }

    private void want() {
        if (!closed && key.isValid()) {
            key.interestOps(
                    (deaf ? 0 : SelectionKey.OP_READ) | (left == null ? 0 : SelectionKey.OP_WRITE));
        }
    }

    void fail() {
        if (!closed) {
            close();
            handler.closed(this);
        }
    }

    public void close() {
        closed = true;
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            // gone all the same
        }
    }
}
