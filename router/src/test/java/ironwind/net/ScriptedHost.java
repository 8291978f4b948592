package ironwind.net;

import io.vertx.core.json.JsonObject;
import ironwind.pg.Encoder;
import ironwind.pg.Frame;
import ironwind.pg.PgError;
import ironwind.pg.Row;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Supplier;

/** A host that performs a scripted action for each request. */
final class ScriptedHost implements AutoCloseable {
    private static final int BACKLOG = 50;

    /** Parameters in an answer that has more of them than a router accepts. */
    private static final int PARAMETERS = 50_000;

    private static final long SLOW_ROW_MS = 250;

    private final ServerSocket serverSocket =
            new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final String role;
    private final Supplier<byte[]> rowValue;
    final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
    final BlockingQueue<String> connectionEnds = new LinkedBlockingQueue<>();
    final CountDownLatch release = new CountDownLatch(1);
    volatile String[] actions = {"row"};

    /** What the action {@code scripted bytes} sends. */
    volatile byte[] scriptedBytes;

    volatile int acceptedConnections;
    volatile int possibleExecutions;
    private int nextAction;

    /**
     * Creates a host that listens.
     *
     * @param executor runs its connections
     * @param rowValue returns the value in its next row
     */
    ScriptedHost(String role, ExecutorService executor, Supplier<byte[]> rowValue)
            throws IOException {
        this.role = role;
        this.rowValue = rowValue;
        executor.submit(
                () -> {
                    while (!serverSocket.isClosed()) {
                        Socket socket = serverSocket.accept();
                        // A response is written in several parts. With Nagle's algorithm it
                        // would wait 40 ms for a delayed acknowledgement.
                        socket.setTcpNoDelay(true);
                        acceptedConnections++;
                        executor.submit(() -> serveConnection(socket));
                    }
                    return null;
                });
    }

    @Override
    public void close() throws IOException {
        serverSocket.close();
    }

    JsonObject discoveryEntry() {
        return new JsonObject()
                .put("id", role)
                .put("addr", "127.0.0.1:" + serverSocket.getLocalPort())
                .put("zone", "north")
                .put("kind", "plain")
                .put("cell", 2)
                .put("state", "Ready")
                .put("weight", 1.0)
                .put("started_ms", 0)
                .put("role", role);
    }

    private synchronized String currentAction(boolean advance) {
        String action = actions[Math.min(nextAction, actions.length - 1)];
        nextAction += advance ? 1 : 0;
        return action;
    }

    private Void serveConnection(Socket socket) throws Exception {
        try (socket) {
            PgConnection connection = new PgConnection(socket);
            socket.getInputStream().readNBytes(Encoder.startupMessage("client", "core").length);
            if (List.of("close on startup", "refuse startup", "garbage on startup")
                    .contains(currentAction(false))) {
                switch (currentAction(true)) {
                    case "refuse startup" ->
                            connection.send(
                                    Encoder.fatalErrorResponse(
                                            new PgError("53300", "too many connections", null)));
                    case "garbage on startup" ->
                            connection.send("what is this?".getBytes(StandardCharsets.UTF_8));
                    default -> {}
                }
                return null;
            }
            if (!currentAction(false).equals("no startup response")) {
                connection.send(Encoder.startupResponse());
            }
            for (Frame frame = connection.readFrame();
                    frame != null;
                    frame = connection.readFrame()) {
                String sql =
                        new String(
                                frame.body(),
                                0,
                                frame.body().length - 1,
                                StandardCharsets.ISO_8859_1);
                if (frame.type() != 'Q' || !handleStatement(connection, sql)) {
                    return null;
                }
            }
            connectionEnds.add("closed by the router");
        }
        return null;
    }

    /** Handles one statement and returns whether the connection stays open. */
    private boolean handleStatement(PgConnection connection, String sql) throws Exception {
        if (sql.isEmpty()) {
            connection.send(Encoder.emptyQueryResponse());
            return true;
        }
        if (sql.startsWith("SELECT 1")) {
            connection.send(Encoder.singleRowResult(Row.ofText("one", "1")));
            return true;
        }
        String action = currentAction(true);
        possibleExecutions += List.of("overloaded", "read-only").contains(action) ? 0 : 1;
        requests.add(sql);
        switch (action) {
            case "row" -> sendRow(connection, Encoder.readyForQuery());
            case "row and close" -> sendRow(connection);
            case "row on release" -> {
                release.await();
                sendRow(connection, Encoder.readyForQuery());
            }
            case "overloaded" ->
                    connection.send(
                            Encoder.errorResponseAndReady(
                                    new PgError("53300", "overloaded", null)));
            case "read-only" ->
                    connection.send(
                            Encoder.errorResponseAndReady(new PgError("25006", "read-only", null)));
            case "error" ->
                    connection.send(
                            Encoder.errorResponseAndReady(
                                    new PgError("XX000", "internal error", null)));
            case "two rows" -> {
                byte[] messages = Encoder.singleRowResult(Row.ofText("val", "x"));
                connection.send(Arrays.copyOf(messages, messages.length - 6 - 14));
                connection.send(Encoder.singleRowResult(Row.ofText("val", "y")));
            }
            case "tag without row" ->
                    connection.send(HexFormat.of().parseHex("430000000d53454c454354203100"));
            case "oversized" -> connection.send(HexFormat.of().parseHex("44b2d05e00"));
            case "truncated" -> connection.send(HexFormat.of().parseHex("5400000020"));
            case "endless parameters" -> {
                for (int i = 0; i < PARAMETERS; i++) {
                    connection.send(parameterStatus("name " + i, "value " + i));
                }
            }
            case "malformed parameter" ->
                    sendRow(
                            connection,
                            HexFormat.of().parseHex("53000000086c6f6164"),
                            Encoder.readyForQuery());
            case "row and duplicate" -> {
                sendRow(connection, Encoder.readyForQuery());
                sendRow(connection, Encoder.readyForQuery());
            }
            case "row and late duplicate" -> {
                sendRow(connection, Encoder.readyForQuery());
                Thread.sleep(1);
                sendRow(connection, Encoder.readyForQuery());
            }
            case "row and duplicate before the next request is read" -> {
                byte[] data = dataRowBody();
                sendRowOf(data, connection, Encoder.readyForQuery());
                while (connection.socket.getInputStream().available() == 0) {
                    Thread.sleep(1);
                }
                sendRowOf(data, connection, Encoder.readyForQuery());
            }
            case "row and garbage" ->
                    sendRow(
                            connection,
                            Encoder.readyForQuery(),
                            "noise".getBytes(StandardCharsets.UTF_8));
            case "slow row" -> {
                Thread.sleep(SLOW_ROW_MS);
                sendRow(connection, Encoder.readyForQuery());
            }
            case "scripted bytes" -> connection.send(scriptedBytes);
            case "garbage" -> connection.send("what is this?".getBytes(StandardCharsets.UTF_8));
            case "reset" -> connection.socket.setSoLinger(true, 0);
            default -> {}
        }
        return !List.of("reset", "close", "row and close").contains(action);
    }

    /**
     * Sends a row and the parameters {@code role} and {@code applied_ms}, then the trailer instead
     * of ReadyForQuery.
     */
    private void sendRow(PgConnection connection, byte[]... trailer) throws IOException {
        sendRowOf(dataRowBody(), connection, trailer);
    }

    private void sendRowOf(byte[] data, PgConnection connection, byte[]... trailer)
            throws IOException {
        byte[] messages =
                Encoder.singleRowResult(
                        new Row(Row.ofText("val", "").description(), data, "SELECT 1"));
        int readyOffset = messages.length - Encoder.readyForQuery().length;
        connection.send(
                Arrays.copyOf(messages, readyOffset),
                parameterStatus("role", role),
                parameterStatus("applied_ms", Long.toString(System.currentTimeMillis())));
        connection.send(trailer);
    }

    private byte[] dataRowBody() {
        byte[] value = rowValue.get();
        return ByteBuffer.allocate(6 + value.length)
                .putShort((short) 1)
                .putInt(value.length)
                .put(value)
                .array();
    }

    private byte[] parameterStatus(String name, String value) {
        byte[] text = (name + "\0" + value + "\0").getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(5 + text.length)
                .put((byte) 'S')
                .putInt(4 + text.length)
                .put(text)
                .array();
    }
}
