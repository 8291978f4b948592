package ironwind.lab;

import ironwind.pg.Encoder;
import ironwind.pg.Frame;
import ironwind.pg.Frames;
import ironwind.pg.HostMessage;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/** One client that writes and waits, as a test tells it to. */
final class BlockingClient implements AutoCloseable {
    private static final int PATIENCE_MS = 8_000;

    final Socket socket = new Socket();
    private final Frames frames = new Frames(false, HostMessage.TYPES, 1 << 20);

    /** First and second value of each row of the last answer. */
    final Map<String, String> rows = new TreeMap<>();

    BlockingClient(int port) throws IOException {
        this(port, "127.0.0.1");
    }

    BlockingClient(int port, String from) throws IOException {
        socket.setSoTimeout(PATIENCE_MS);
        socket.setTcpNoDelay(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName(from), 0));
        socket.connect(new InetSocketAddress("127.0.0.1", port));
    }

    /** Starts up; the answer to it, as {@link #answer} gives it. */
    String greet() throws IOException {
        send(Encoder.startup("client", "core"));
        return answer();
    }

    void send(byte[]... messages) throws IOException {
        for (byte[] message : messages) {
            socket.getOutputStream().write(message);
        }
    }

    void ask(String id, String method, String customer, String key) throws IOException {
        send(
                Encoder.query(
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
        ask(id, "read", "one", "k");
        return answer();
    }

    Map<String, String> show(String what) throws IOException {
        send(Encoder.query("SHOW " + what));
        answer();
        return rows;
    }

    long shown(String what, String name) throws IOException {
        return Long.parseLong(show(what).get(name));
    }

    /**
     * {@code ok}, {@code E} with code and detail, {@code ready}; {@code closed} behind it where it
     * was.
     */
    String answer() throws IOException {
        rows.clear();
        boolean row = false;
        String error = "";
        byte[] buffer = new byte[8_192];
        while (true) {
            for (Frame frame = frames.next(); frame != null; frame = frames.next()) {
                if (frame.type() == 'D') {
                    row = true;
                    values(frame.body());
                } else if (frame.type() == 'E'
                        && HostMessage.decode(frame) instanceof HostMessage.Failed failed) {
                    String detail = failed.failure().detail();
                    error = "E" + failed.failure().code() + (detail == null ? "" : " " + detail);
                } else if (frame.type() == 'Z') {
                    return error.isEmpty() ? row ? "ok" : "ready" : error;
                }
            }
            int count = socket.getInputStream().read(buffer);
            if (count < 0) {
                return (error + " closed").strip();
            }
            frames.add(Arrays.copyOf(buffer, count));
        }
    }

    private void values(byte[] body) {
        String[] values = new String[2];
        int at = 2;
        for (int i = 0; i < Math.min(body[1], 2); i++) {
            int length =
                    (body[at] & 0xff) << 24
                            | (body[at + 1] & 0xff) << 16
                            | (body[at + 2] & 0xff) << 8
                            | body[at + 3] & 0xff;
            values[i] = new String(body, at + 4, length, StandardCharsets.UTF_8);
            at += 4 + length;
        }
        rows.put(values[0], String.valueOf(values[1]));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
