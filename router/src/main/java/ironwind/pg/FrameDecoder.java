package ironwind.pg;

import java.util.Arrays;

/** Splits a byte stream, received in pieces of any size, into frames. */
public final class FrameDecoder {
    private static final int LENGTH_BYTES = 4;
    private static final byte[] EMPTY = {};

    /** Smallest capacity of a buffer that joins pieces, in bytes: most messages are no longer. */
    private static final int MIN_CAPACITY = 512;

    /** Most room in a buffer beyond the bytes that it is made for. */
    private static final int MAX_SPARE_BYTES = 128 * 1024;

    /** Largest body of a startup message, in bytes: PostgreSQL's own limit. */
    private static final int MAX_STARTUP_BYTES = 10_000;

    private final String types;
    private final int maxBodyBytes;
    private boolean startup;
    private byte[] buffer = EMPTY;
    private int readIndex;
    private int writeIndex;

    /**
     * Creates a decoder.
     *
     * @param startup whether startup messages, which have no type byte, come first; see {@link
     *     #startupDone}
     * @param types the type bytes that all other messages may have
     * @param maxBodyBytes the largest body that is accepted
     */
    public FrameDecoder(boolean startup, String types, int maxBodyBytes) {
        this.startup = startup;
        this.types = types;
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Adds received bytes. The decoder takes ownership of the array. The buffer's size follows the
     * bytes that have arrived, not the length that a header declares. A byte is copied a few times
     * at most while no more than a mebibyte is buffered.
     */
    public void add(byte[] bytes) {
        int buffered = writeIndex - readIndex;
        if (buffered == 0) {
            buffer = bytes;
            readIndex = 0;
            writeIndex = bytes.length;
            return;
        }
        if (writeIndex + bytes.length > buffer.length) {
            byte[] target = bufferFor(buffered + bytes.length);
            System.arraycopy(buffer, readIndex, target, 0, buffered);
            buffer = target;
            readIndex = 0;
            writeIndex = buffered;
        }
        System.arraycopy(bytes, 0, buffer, writeIndex, bytes.length);
        writeIndex += bytes.length;
    }

    /**
     * Returns the buffer if at least a quarter of it stays free, and else a new one with room for
     * more, but no larger than the incomplete message that it is for.
     */
    private byte[] bufferFor(int bytes) {
        if (bytes <= buffer.length - buffer.length / 4) {
            return buffer;
        }
        int capacity = Math.max(MIN_CAPACITY, bytes + Math.min(bytes, MAX_SPARE_BYTES));
        return new byte[bytes < expectedBytes() ? Math.min(capacity, messageBytes()) : capacity];
    }

    /**
     * Returns the length of the next message as its header declares it, header included; zero while
     * the header is incomplete.
     */
    private int messageBytes() {
        int typeBytes = startup ? 0 : 1;
        return writeIndex - readIndex < typeBytes + LENGTH_BYTES
                ? 0
                : typeBytes + Math.max(0, WireFormat.readInt32(buffer, readIndex + typeBytes));
    }

    /**
     * Returns the next frame, or null until it is complete.
     *
     * @throws PgException if the header is invalid, as soon as the header has arrived
     */
    public Frame next() {
        int typeBytes = startup ? 0 : 1;
        if (!startup && readIndex < writeIndex && types.indexOf(buffer[readIndex] & 0xff) < 0) {
            throw new PgException(
                    PgException.PROTOCOL_VIOLATION,
                    "unknown message type " + (buffer[readIndex] & 0xff));
        }
        if (writeIndex - readIndex < typeBytes + LENGTH_BYTES) {
            return null;
        }
        int length = WireFormat.readInt32(buffer, readIndex + typeBytes) - LENGTH_BYTES;
        if (length < 0) {
            throw new PgException(
                    PgException.PROTOCOL_VIOLATION, "message length is less than " + LENGTH_BYTES);
        }
        if (length > limit()) {
            throw new PgException(
                    PgException.PROGRAM_LIMIT_EXCEEDED,
                    "message body has " + length + " bytes, at most " + limit() + " are allowed");
        }
        int body = readIndex + typeBytes + LENGTH_BYTES;
        if (writeIndex - body < length) {
            return null;
        }
        char type = startup ? Frame.STARTUP : (char) (buffer[readIndex] & 0xff);
        readIndex = body + length;
        Frame frame = new Frame(type, Arrays.copyOfRange(buffer, body, readIndex));
        if (readIndex == writeIndex) {
            // Releases the buffer, so that an idle connection holds no memory for past messages.
            clear();
        }
        return frame;
    }

    /** Returns whether {@link #next} has a frame, or throws because of an invalid header. */
    public boolean hasNext() {
        int typeBytes = startup ? 0 : 1;
        int buffered = writeIndex - readIndex;
        if (!startup && buffered > 0 && types.indexOf(buffer[readIndex] & 0xff) < 0) {
            return true;
        }
        if (buffered < typeBytes + LENGTH_BYTES) {
            return false;
        }
        int length = WireFormat.readInt32(buffer, readIndex + typeBytes) - LENGTH_BYTES;
        return length < 0 || length > limit() || buffered - typeBytes - LENGTH_BYTES >= length;
    }

    private int limit() {
        return startup ? Math.min(MAX_STARTUP_BYTES, maxBodyBytes) : maxBodyBytes;
    }

    /** Ends the startup phase: all further messages have a type byte. */
    public void startupDone() {
        startup = false;
    }

    /** Whether the decoder is in the startup phase. */
    public boolean inStartup() {
        return startup;
    }

    /** Discards all buffered bytes and releases the buffer. */
    public void clear() {
        readIndex = 0;
        writeIndex = 0;
        buffer = EMPTY;
    }

    /** Returns the capacity of the buffer in bytes; zero if no bytes are buffered. */
    public int bufferCapacity() {
        return readIndex < writeIndex ? buffer.length : 0;
    }

    /**
     * Moves the buffered bytes to a smaller buffer if they, and the message that they begin, need
     * less than half of it.
     *
     * @return the capacity of the buffer in bytes; zero if no bytes are buffered
     */
    public int compact() {
        int needed = Math.max(writeIndex - readIndex, Math.max(MIN_CAPACITY, expectedBytes()));
        if (bufferCapacity() > 2 * needed) {
            byte[] target = new byte[needed];
            System.arraycopy(buffer, readIndex, target, 0, writeIndex - readIndex);
            writeIndex -= readIndex;
            readIndex = 0;
            buffer = target;
        }
        return bufferCapacity();
    }

    /**
     * Returns how many bytes the next message takes according to its header, at most the largest
     * body; zero while the header is incomplete.
     */
    public int expectedBytes() {
        return Math.min(messageBytes(), maxBodyBytes);
    }

    /** Whether bytes are buffered that {@link #next} has not returned yet. */
    public boolean hasBufferedBytes() {
        return readIndex < writeIndex;
    }
}
