package ironwind.standin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;

/** A TCP connection of an {@link EventLoop}. All methods must be called on the loop's thread. */
public final class Connection {
    private final EventLoop loop;
    private final EventLoop.Handler handler;
    SocketChannel channel;
    SelectionKey key;
    private Deque<ByteBuffer> pendingWrites;
    private boolean closed;
    private boolean connected;
    private boolean readingPaused;

    Connection(EventLoop loop, EventLoop.Handler handler) {
        this.loop = loop;
        this.handler = handler;
    }

    /** Whether the connection is established and has not been closed. */
    public boolean isOpen() {
        return connected && !closed;
    }

    /** Returns the event loop that serves this connection. */
    public EventLoop loop() {
        return loop;
    }

    void opened() {
        connected = true;
        handler.opened(this);
    }

    void handleEvents(SelectionKey selected, ByteBuffer readBuffer) {
        try {
            if (selected.isConnectable()) {
                channel.finishConnect();
                updateInterest();
                opened();
            }
            if (!closed && selected.isValid() && selected.isWritable()) {
                flush();
            }
            if (!closed && selected.isValid() && selected.isReadable()) {
                int count = channel.read(readBuffer.clear());
                if (count < 0) {
                    closeAndNotify();
                } else if (count > 0) {
                    byte[] bytes = new byte[count];
                    readBuffer.flip().get(bytes);
                    handler.received(this, bytes);
                }
            }
        } catch (IOException e) {
            closeAndNotify();
        }
    }

    /**
     * Writes the given parts in order. Bytes that the socket does not accept are queued without
     * limit. Does nothing once the connection is closed.
     */
    public void write(byte[]... parts) {
        if (closed) {
            return;
        }
        pendingWrites = pendingWrites == null ? new ArrayDeque<>() : pendingWrites;
        for (byte[] part : parts) {
            pendingWrites.add(ByteBuffer.wrap(part));
        }
        try {
            flush();
        } catch (IOException e) {
            closeAndNotify();
        }
    }

    private void flush() throws IOException {
        while (pendingWrites != null) {
            if (pendingWrites.isEmpty()) {
                pendingWrites = null;
            } else {
                channel.write(pendingWrites.peek());
                if (pendingWrites.peek().hasRemaining()) {
                    break;
                }
                pendingWrites.poll();
            }
        }
        updateInterest();
    }

    /** Pauses or resumes reading from the socket. */
    public void setReadingPaused(boolean paused) {
        readingPaused = paused;
        updateInterest();
    }

    private void updateInterest() {
        if (!closed && key.isValid()) {
            key.interestOps(
                    (readingPaused ? 0 : SelectionKey.OP_READ)
                            | (pendingWrites == null ? 0 : SelectionKey.OP_WRITE));
        }
    }

    void closeAndNotify() {
        if (!closed) {
            close();
            handler.closed(this);
        }
    }

    /** Closes the connection without notifying its handler. */
    public void close() {
        closed = true;
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            // The channel counts as closed even if closing it fails.
        }
    }
}
