package ironwind.pg;

import java.util.Arrays;

/** Cuts what comes in, split or joined at any byte, into messages. */
public final class FrameDecoder {
    private static final int LENGTH_BYTES = 4;
    private static final byte[] NOTHING = {};

    /** Most messages are no longer than this. */
    private static final int USUAL = 512;

    /** PostgreSQL takes no longer start-up message. */
    private static final int LONGEST_STARTUP = 10_000;

    private final String types;
    private final int longest;
    private boolean startup;
    private byte[] bytes = NOTHING;
    private int from;
    private int to;

    /**
     * {@code startup}: the first message bears no type. The types that others may have; their
     * bodies may have {@code longest} bytes.
     */
    public FrameDecoder(boolean startup, String types, int longest) {
        this.startup = startup;
        this.types = types;
        this.longest = longest;
    }

    /** Takes what has come; the array is this object's from now on. */
    public void add(byte[] more) {
        int kept = to - from;
        if (kept == 0) {
            bytes = more;
            from = 0;
            to = more.length;
            return;
        }
        if (to + more.length > bytes.length) {
            int room = Math.max(kept + more.length, Math.max(USUAL, Math.min(expected(), longest)));
            byte[] target = room <= bytes.length ? bytes : new byte[room];
            System.arraycopy(bytes, from, target, 0, kept);
            bytes = target;
            from = 0;
            to = kept;
        }
        System.arraycopy(more, 0, bytes, to, more.length);
        to += more.length;
    }

    /**
     * How long the message that has begun says it is, with its head; zero where that has not come
     * yet.
     */
    private int expected() {
        int head = startup ? 0 : 1;
        return to - from < head + LENGTH_BYTES
                ? 0
                : head + Math.max(0, WireFormat.int4(bytes, from + head));
    }

    /**
     * The next whole message, or null where more must come first. A header that is wrong is told at
     * once.
     */
    public Frame next() {
        int head = startup ? 0 : 1;
        if (!startup && from < to && types.indexOf(bytes[from] & 0xff) < 0) {
            throw new PgException(
                    PgException.PROTOCOL, "no message has the type " + (bytes[from] & 0xff));
        }
        if (to - from < head + LENGTH_BYTES) {
            return null;
        }
        int length = WireFormat.int4(bytes, from + head) - LENGTH_BYTES;
        if (length < 0) {
            throw new PgException(PgException.PROTOCOL, "a message has a negative length");
        }
        int most = startup ? Math.min(LONGEST_STARTUP, longest) : longest;
        if (length > most) {
            throw new PgException(
                    PgException.TOO_LARGE,
                    "a message has " + length + " bytes, " + most + " are allowed");
        }
        int body = from + head + LENGTH_BYTES;
        if (to - body < length) {
            return null;
        }
        char type = startup ? Frame.STARTUP : (char) (bytes[from] & 0xff);
        from = body + length;
        Frame frame = new Frame(type, Arrays.copyOfRange(bytes, body, from));
        if (from == to) {
            // A connection keeps no room for what it once brought.
            clear();
        }
        return frame;
    }

    /** What follows is typed: the start-up is over. */
    public void started() {
        startup = false;
    }

    /** Whether the start-up message is still to come. */
    public boolean atStartup() {
        return startup;
    }

    /** Drops what has come. */
    public void clear() {
        from = 0;
        to = 0;
        bytes = NOTHING;
    }

    /** Bytes of the room that is held for what has come and is no whole message yet. */
    public int held() {
        return from < to ? bytes.length : 0;
    }

    /**
     * Bytes that the message which has begun will take; zero where none has, or its head has not
     * come.
     */
    public int wants() {
        return Math.min(expected(), longest);
    }

    /** Whether part of a message has come. */
    public boolean midway() {
        return from < to;
    }
}
