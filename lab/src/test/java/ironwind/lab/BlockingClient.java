package ironwind.lab;

import ironwind.pg.Encoder;
import ironwind.pg.Frame;
import ironwind.pg.FrameDecoder;
import ironwind.pg.HostMessage;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/** A client with a blocking socket that sends requests and reads responses one at a time. */
final class BlockingClient implements AutoCloseable {
    private static final int READ_TIMEOUT_MS = 8_000;

    final Socket socket = new Socket();
    private final FrameDecoder frames = new FrameDecoder(false, HostMessage.TYPES, 1 << 20);

    /** The second value of each row of the last response, by the first value. */
    final Map<String, String> rows = new TreeMap<>();

    BlockingClient(int port) throws IOException {
        this(port, "127.0.0.1");
    }

    BlockingClient(int port, String from) throws IOException {
        socket.setSoTimeout(READ_TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName(from), 0));
        socket.connect(new InetSocketAddress("127.0.0.1", port));
    }

    /** Sends the startup message and returns the response, as {@link #readResponse} does. */
    String startUp() throws IOException {
        send(Encoder.startupMessage("client", "core"));
        return readResponse();
    }

    void send(byte[]... messages) throws IOException {
        for (byte[] message : messages) {
            socket.getOutputStream().write(message);
        }
    }

    void sendRead(String id, String method, String customer, String key) throws IOException {
        send(
                Encoder.queryMessage(
                        "/* id="
                                + id
                                + ",c="
                                + method
                                + ",d=4000,k="
                                + id
                                + ",cluster=0,t="
                                + customer
                                + " */ "
                                + "SELECT val FROM state WHERE uid = '"
                                + key
                                + "'"));
    }

    String read(String id) throws IOException {
        sendRead(id, "read", "one", "k");
        return readResponse();
    }

    Map<String, String> show(String table) throws IOException {
        send(Encoder.queryMessage("SHOW " + table));
        readResponse();
        return rows;
    }

    long showValue(String table, String name) throws IOException {
        return Long.parseLong(show(table).get(name));
    }

    /**
     * Reads up to ReadyForQuery and returns {@code ok} if there was a row, {@code E} with SQLSTATE
     * and detail if there was an error, and {@code ready} otherwise. If the connection was closed
     * first, returns {@code closed}, after the error if there was one.
     */
    String readResponse() throws IOException {
        rows.clear();
        boolean rowReceived = false;
        String error = "";
        byte[] buffer = new byte[8_192];
        while (true) {
            for (Frame frame = frames.next(); frame != null; frame = frames.next()) {
                if (frame.type() == 'D') {
                    rowReceived = true;
                    addRow(frame.body());
                } else if (frame.type() == 'E'
                        && HostMessage.decode(frame) instanceof HostMessage.ErrorResponse failed) {
                    String detail = failed.error().detail();
                    error = "E" + failed.error().sqlState() + (detail == null ? "" : " " + detail);
                } else if (frame.type() == 'Z') {
                    return error.isEmpty() ? rowReceived ? "ok" : "ready" : error;
                }
            }
            int length = socket.getInputStream().read(buffer);
            if (length < 0) {
                return (error + " closed").strip();
            }
            frames.add(Arrays.copyOf(buffer, length));
        }
    }

    private void addRow(byte[] body) {
        String[] values = new String[2];
        int offset = 2;
        for (int i = 0; i < Math.min(body[1], 2); i++) {
            int length =
                    (body[offset] & 0xff) << 24
                            | (body[offset + 1] & 0xff) << 16
                            | (body[offset + 2] & 0xff) << 8
                            | body[offset + 3] & 0xff;
            values[i] = new String(body, offset + 4, length, StandardCharsets.UTF_8);
            offset += 4 + length;
        }
        rows.put(values[0], String.valueOf(values[1]));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
