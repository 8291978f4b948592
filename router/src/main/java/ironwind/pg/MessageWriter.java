package ironwind.pg;

import java.util.Arrays;

/** Builds messages one after another. */
final class MessageWriter {
    private byte[] bytes = new byte[128];
    private int size;
    private int lengthAt;

    MessageWriter begin(char type) {
        if (type != Frame.STARTUP) {
            int1(type);
        }
        lengthAt = size;
        return int4(0);
    }

    MessageWriter end() {
        int length = size - lengthAt;
        bytes[lengthAt] = (byte) (length >> 24);
        bytes[lengthAt + 1] = (byte) (length >> 16);
        bytes[lengthAt + 2] = (byte) (length >> 8);
        bytes[lengthAt + 3] = (byte) length;
        return this;
    }

    MessageWriter int1(int value) {
        room(1);
        bytes[size++] = (byte) value;
        return this;
    }

    MessageWriter int2(int value) {
        return int1(value >> 8).int1(value);
    }

    MessageWriter int4(int value) {
        return int2(value >> 16).int2(value);
    }

    MessageWriter raw(byte[] more) {
        room(more.length);
        System.arraycopy(more, 0, bytes, size, more.length);
        size += more.length;
        return this;
    }

    MessageWriter text(String text) {
        return raw(text.getBytes(WireFormat.BYTES)).int1(0);
    }

    byte[] bytes() {
        return Arrays.copyOf(bytes, size);
    }

    private void room(int more) {
        if (size + more > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, size + more));
        }
    }
}
