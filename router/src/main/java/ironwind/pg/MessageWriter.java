package ironwind.pg;

import java.util.Arrays;

/** Builds a sequence of messages in a growing buffer. */
final class MessageWriter {
    private byte[] buffer = new byte[128];
    private int size;

    /** Where the length field of the current message starts. */
    private int lengthOffset;

    /** Begins a message; {@link #endMessage} fills in its length. */
    MessageWriter beginMessage(char type) {
        if (type != Frame.STARTUP) {
            writeByte(type);
        }
        lengthOffset = size;
        return writeInt32(0);
    }

    MessageWriter endMessage() {
        int length = size - lengthOffset;
        buffer[lengthOffset] = (byte) (length >> 24);
        buffer[lengthOffset + 1] = (byte) (length >> 16);
        buffer[lengthOffset + 2] = (byte) (length >> 8);
        buffer[lengthOffset + 3] = (byte) length;
        return this;
    }

    MessageWriter writeByte(int value) {
        ensureWritable(1);
        buffer[size++] = (byte) value;
        return this;
    }

    MessageWriter writeInt16(int value) {
        return writeByte(value >> 8).writeByte(value);
    }

    MessageWriter writeInt32(int value) {
        return writeInt16(value >> 16).writeInt16(value);
    }

    MessageWriter writeBytes(byte[] bytes) {
        ensureWritable(bytes.length);
        System.arraycopy(bytes, 0, buffer, size, bytes.length);
        size += bytes.length;
        return this;
    }

    /** Writes a zero-terminated string, one byte per char. */
    MessageWriter writeString(String string) {
        return writeBytes(string.getBytes(WireFormat.CHARSET)).writeByte(0);
    }

    byte[] toByteArray() {
        return Arrays.copyOf(buffer, size);
    }

    private void ensureWritable(int count) {
        if (size + count > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, size + count));
        }
    }
}
