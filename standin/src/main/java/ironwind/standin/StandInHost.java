package ironwind.standin;

import ironwind.pg.ClientMessage;
import ironwind.pg.Encoder;
import ironwind.pg.Frame;
import ironwind.pg.FrameDecoder;
import ironwind.pg.Row;
import ironwind.pg.Statement;
import ironwind.pg.WireFormat;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

/**
 * A database host that speaks the PostgreSQL protocol. It answers every statement that is not empty
 * with one row after a fixed delay, and can count executions by request id. A key such as {@code
 * big-65536} selects the size of the returned value in bytes; any other key returns 64 bytes.
 */
public final class StandInHost {
    private static final String SIZED_KEY_PREFIX = "big-";
    private static final int DEFAULT_VALUE_BYTES = 64;

    private final boolean primary;
    private final long responseDelayNanos;
    private final InetSocketAddress address;
    private final Map<String, Integer> executions = new HashMap<>();
    private boolean recording;

    /**
     * Starts a host on a free loopback port.
     *
     * @param primary whether its answers report the role {@code primary} rather than {@code
     *     replica}
     * @param responseDelayNanos delay before each answer
     */
    public StandInHost(EventLoop loop, boolean primary, long responseDelayNanos)
            throws IOException {
        this.primary = primary;
        this.responseDelayNanos = responseDelayNanos;
        this.address = loop.listen(new InetSocketAddress("127.0.0.1", 0), ConnectionHandler::new);
    }

    /** Starts counting executions by request id, and returns this host. */
    public StandInHost recordExecutions() {
        recording = true;
        return this;
    }

    /** Returns the address that the host listens on. */
    public InetSocketAddress address() {
        return address;
    }

    /**
     * Returns a copy of the number of executions by request id; empty without {@link
     * #recordExecutions}.
     */
    public synchronized Map<String, Integer> executionCounts() {
        return new HashMap<>(executions);
    }

    private synchronized void record(Statement statement) {
        if (recording) {
            executions.merge(statement.attributes().getOrDefault("id", ""), 1, Integer::sum);
        }
    }

    private static int valueBytes(Statement statement) {
        String key = statement.rowKey();
        return key != null && key.startsWith(SIZED_KEY_PREFIX)
                ? Integer.parseInt(key.substring(SIZED_KEY_PREFIX.length()))
                : DEFAULT_VALUE_BYTES;
    }

    private final class ConnectionHandler implements EventLoop.Handler {
        private final FrameDecoder frameDecoder =
                new FrameDecoder(true, ClientMessage.TYPES, WireFormat.MAX_MESSAGE_BYTES);

        @Override
        public void received(Connection connection, byte[] bytes) {
            frameDecoder.add(bytes);
            for (Frame frame = frameDecoder.next(); frame != null; frame = frameDecoder.next()) {
                ClientMessage message = ClientMessage.decode(frame);
                if (message instanceof ClientMessage.Startup) {
                    frameDecoder.startupDone();
                    connection.write(Encoder.startupResponse());
                } else if (message instanceof ClientMessage.Query query) {
                    Statement statement = Statement.parse(query.sql());
                    if (statement.text().isEmpty()) {
                        connection.write(Encoder.emptyQueryResponse());
                        continue;
                    }
                    connection
                            .loop()
                            .schedule(
                                    System.nanoTime() + responseDelayNanos,
                                    () -> respond(connection, statement));
                } else {
                    connection.close();
                    return;
                }
            }
        }

        private void respond(Connection connection, Statement statement) {
            record(statement);
            connection.write(
                    Encoder.singleRowResult(
                            Row.ofText("val", "v".repeat(valueBytes(statement))),
                            Map.of(
                                    "role",
                                    primary ? "primary" : "replica",
                                    "applied_ms",
                                    Long.toString(System.currentTimeMillis()))));
        }
    }
}
