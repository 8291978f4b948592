package rig;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.ThreadLocalRandom;

/** A client's connection to a router. */
final class Caller implements AutoCloseable {
    /** How a request ended for its client. */
    enum End { SERVED, REFUSED, FAILED, CLOSED, NONE }

    /**
     * An answer.
     *
     * @param atMs when its last byte came, in Unix milliseconds
     * @param detail the value's size, or the error
     */
    record Answer(End end, long atMs, byte[] value, String detail) {
        @Override
        public String toString() {
            return end + " " + detail;
        }
    }

    private final Socket socket = new Socket();
    private DataInputStream in;

    /** Connects and writes the startup message. */
    Caller(int port) throws IOException {
        this(port, 0);
    }

    /**
     * Connects and writes the startup message.
     *
     * @param receiveBufferBytes the size of the socket's receive buffer; 0 for the usual one
     */
    Caller(int port, int receiveBufferBytes) throws IOException {
        if (receiveBufferBytes > 0) {
            socket.setReceiveBufferSize(receiveBufferBytes);
        }
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
        socket.setTcpNoDelay(true);
        in = new DataInputStream(new BufferedInputStream(socket.getInputStream(),
                receiveBufferBytes > 0 ? receiveBufferBytes : 65_536));
        socket.getOutputStream().write(Wire.startup());
    }

    /** Reads no more than so many bytes in a millisecond from now on, as over a slower line. */
    void limitRate(int bytesPerMs) {
        in = new DataInputStream(new FilterInputStream(in) {
            private final long startedMs = System.currentTimeMillis();
            private long count;

            @Override
            public int read() throws IOException {
                byte[] one = new byte[1];
                return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
            }

            @Override
            public int read(byte[] bytes, int offset, int length) throws IOException {
                long aheadMs = count / bytesPerMs - (System.currentTimeMillis() - startedMs);
                if (aheadMs > 0) {
                    Sockets.sleep(aheadMs);
                }
                int read = super.read(bytes, offset, Math.min(length, 4_096));
                count += Math.max(0, read);
                return read;
            }
        });
    }

    /** Returns a new request id. */
    static String newId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    /** Returns a read of a row. */
    static String read(String id, String method, long timeMs, int cluster, String key) {
        return "/* id=" + id + ",c=" + method + ",d=" + timeMs + ",cluster=" + cluster
                + " */ SELECT val FROM state WHERE uid = '" + key + "'";
    }

    /** Returns a write of a row. */
    static String write(String id, String method, long timeMs, String token, int cluster,
            String key) {
        return "/* id=" + id + ",c=" + method + ",d=" + timeMs + ",k=" + token + ",cluster="
                + cluster + " */ INSERT INTO state (uid, val) VALUES ('" + key
                + "', '\\x9f03') RETURNING val";
    }

    /** Writes commands without waiting for their answers. */
    void send(String... commands) throws IOException {
        byte[][] messages = new byte[commands.length][];
        for (int i = 0; i < commands.length; i++) {
            messages[i] = Wire.query(commands[i]);
        }
        socket.getOutputStream().write(Wire.join(messages));
    }

    /** Waits for the next answer, which ends with ReadyForQuery or with the connection. */
    Answer next(long timeoutMs) {
        byte[] value = null;
        String error = null;
        boolean complete = false;
        boolean empty = false;
        boolean started = false;
        try {
            socket.setSoTimeout((int) Math.max(1, timeoutMs));
            while (true) {
                Wire.Message message = Wire.read(in);
                if (message == null) {
                    return error != null ? ended(value, error, complete)
                            : new Answer(End.CLOSED, System.currentTimeMillis(), null, "closed");
                }
                switch (message.type()) {
                    case 'R' -> started = true;
                    case 'D' -> value = message.value();
                    case 'C' -> complete = true;
                    case 'I' -> empty = true;
                    case 'E' -> error = message.errorField('C');
                    case 'Z' -> {
                        if (!started) {
                            return empty
                                    ? new Answer(End.SERVED, System.currentTimeMillis(), null, "")
                                    : ended(value, error, complete);
                        }
                        started = false;
                    }
                    default -> { }
                }
            }
        } catch (SocketTimeoutException e) {
            return new Answer(End.NONE, System.currentTimeMillis(), null, "no answer");
        } catch (IOException e) {
            return new Answer(End.CLOSED, System.currentTimeMillis(), null, e.getMessage());
        }
    }

    private static Answer ended(byte[] value, String error, boolean complete) {
        long now = System.currentTimeMillis();
        if (error != null) {
            boolean refused = error.equals("53300") || error.equals("57P03");
            return new Answer(refused ? End.REFUSED : End.FAILED, now, null, error);
        }
        return complete
                ? new Answer(End.SERVED, now, value, value.length + " bytes")
                : new Answer(End.FAILED, now, null, "an answer without a row");
    }

    /** Sends a command and waits for its answer. */
    Answer ask(String command, long timeoutMs) throws IOException {
        send(command);
        return next(timeoutMs);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
