package review;

import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Stand-ins for hosts, discovery and clients, written from PROTOCOL.md, and the router's process. All
 * sockets are on loopback. A case starts them, plays its traffic and judges what was sent and answered.
 */
final class Bench implements AutoCloseable {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final long startMs = System.currentTimeMillis();
    final ScheduledExecutorService timers = Executors.newScheduledThreadPool(4, Bench::daemon);
    private final BufferedWriter record;
    private final List<AutoCloseable> resources = new ArrayList<>();
    private boolean closed;

    Bench(Path recordFile) throws IOException {
        record = Files.newBufferedWriter(recordFile);
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    static long now() {
        return System.currentTimeMillis();
    }

    /** Writes a line to the record: milliseconds since the start, then the text. */
    synchronized void record(String text) {
        try {
            if (closed) {
                return;
            }
            record.write(String.format("%8d %s%n", now() - startMs, text));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Writes a line to the record and to standard output. */
    void say(String text) {
        System.out.println(text);
        record(text);
    }

    <T extends AutoCloseable> T closing(T resource) {
        synchronized (resources) {
            resources.add(resource);
        }
        return resource;
    }

    @Override
    public synchronized void close() throws IOException {
        synchronized (resources) {
            for (int i = resources.size() - 1; i >= 0; i--) {
                try {
                    resources.get(i).close();
                } catch (Exception e) {
                    // It ends with this process.
                }
            }
        }
        timers.shutdownNow();
        closed = true;
        record.close();
    }

    // ---- messages

    static final class Message {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

        Message begin(char type) {
            return int8(type);
        }

        Message int8(int value) {
            bytes.write(value);
            return this;
        }

        Message int16(int value) {
            return int8(value >> 8).int8(value);
        }

        Message int32(int value) {
            return int16(value >> 16).int16(value);
        }

        Message text(String value) {
            bytes.writeBytes(value.getBytes(StandardCharsets.ISO_8859_1));
            return int8(0);
        }

        Message raw(byte[] value) {
            bytes.writeBytes(value);
            return this;
        }

        byte[] bytes() {
            return bytes.toByteArray();
        }
    }

    static byte[] message(char type, Message body) {
        byte[] content = body.bytes();
        return new Message().int8(type).int32(content.length + 4).raw(content).bytes();
    }

    static byte[] startup() {
        byte[] body =
                new Message()
                        .int32(3 << 16)
                        .text("user")
                        .text("client")
                        .text("database")
                        .text("core")
                        .int8(0)
                        .bytes();
        return new Message().int32(body.length + 4).raw(body).bytes();
    }

    static byte[] query(String sql) {
        return message('Q', new Message().text(sql));
    }

    static byte[] ready() {
        return message('Z', new Message().int8('I'));
    }

    static byte[] parameter(String name, String value) {
        return message('S', new Message().text(name).text(value));
    }

    /** A row of one binary column, CommandComplete, the parameters and ReadyForQuery. */
    static byte[] row(String value, String... parameters) {
        byte[] content = value.getBytes(StandardCharsets.ISO_8859_1);
        Message all = new Message();
        all.raw(
                message(
                        'T',
                        new Message()
                                .int16(1)
                                .text("val")
                                .int32(0)
                                .int16(0)
                                .int32(17)
                                .int16(-1)
                                .int32(-1)
                                .int16(1)));
        all.raw(message('D', new Message().int16(1).int32(content.length).raw(content)));
        all.raw(message('C', new Message().text("SELECT 1")));
        return finish(all, parameters);
    }

    static byte[] error(String code, String... parameters) {
        Message all = new Message();
        all.raw(
                message(
                        'E',
                        new Message()
                                .int8('S')
                                .text("ERROR")
                                .int8('C')
                                .text(code)
                                .int8('M')
                                .text("no")
                                .int8(0)));
        return finish(all, parameters);
    }

    private static byte[] finish(Message all, String... parameters) {
        for (int i = 0; i < parameters.length; i += 2) {
            all.raw(parameter(parameters[i], parameters[i + 1]));
        }
        return all.raw(ready()).bytes();
    }

    /** A message that was received; type 0 for a startup message. */
    record Frame(char type, byte[] body) {
        String text() {
            int end = 0;
            while (end < body.length && body[end] != 0) {
                end++;
            }
            return new String(body, 0, end, StandardCharsets.ISO_8859_1);
        }

        /** The field of an ErrorResponse, or an empty string. */
        String field(char name) {
            int at = 0;
            while (at < body.length && body[at] != 0) {
                int end = at + 1;
                while (body[end] != 0) {
                    end++;
                }
                if (body[at] == name) {
                    return new String(body, at + 1, end - at - 1, StandardCharsets.ISO_8859_1);
                }
                at = end + 1;
            }
            return "";
        }
    }

    static Frame read(DataInputStream in, boolean startup) throws IOException {
        char type = startup ? 0 : (char) in.readUnsignedByte();
        byte[] body = new byte[in.readInt() - 4];
        in.readFully(body);
        return new Frame(type, body);
    }

    /** The names and values of the comment before a statement. */
    static Map<String, String> attributes(String sql) {
        Map<String, String> attributes = new LinkedHashMap<>();
        if (sql.startsWith("/*")) {
            for (String pair : sql.substring(2, sql.indexOf("*/")).strip().split(",")) {
                String[] parts = pair.strip().split("=", 2);
                attributes.put(parts[0], parts[1]);
            }
        }
        return attributes;
    }

    /** The first quoted literal. */
    static String rowKey(String sql) {
        int open = sql.indexOf('\'');
        return open < 0 ? "" : sql.substring(open + 1, sql.indexOf('\'', open + 1));
    }

    // ---- hosts

    /** Answers the queries of clients that a host receives. */
    interface QueryHandler {
        /** Called on the connection's thread once a query's last byte has come. */
        void onQuery(HostConnection connection, String sql, long number) throws Exception;
    }

    /** One connection of a router to a host. */
    final class HostConnection {
        final Host host;
        final Socket socket;
        final long id;

        /** Queries that have come on this connection so far. */
        volatile long queries;

        HostConnection(Host host, Socket socket, long id) {
            this.host = host;
            this.socket = socket;
            this.id = id;
        }

        synchronized void write(byte[] bytes) {
            try {
                socket.getOutputStream().write(bytes);
            } catch (IOException e) {
                // The router has given up this connection.
            }
        }
    }

    /** A database host. */
    final class Host implements AutoCloseable {
        final String id;
        final int cell;
        final ServerSocket server;
        final List<HostConnection> connections = new ArrayList<>();
        volatile QueryHandler handler;

        /** The answer to {@code SHOW load}; null if the settings allow no probes. */
        volatile java.util.function.Supplier<String> loadReport;

        /** Once set, the machine is silent: it answers nothing, not even on new connections. */
        volatile boolean hangs;

        private long connectionCount;

        Host(String id, int cell, QueryHandler handler) throws IOException {
            this.id = id;
            this.cell = cell;
            this.handler = handler;
            this.server = new ServerSocket(0, 1000, LOOPBACK);
            closing(this);
            daemon(this::accept).start();
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    HostConnection connection = new HostConnection(this, socket, ++connectionCount);
                    synchronized (connections) {
                        connections.add(connection);
                    }
                    daemon(() -> serve(connection)).start();
                }
            } catch (IOException e) {
                // Closed.
            }
        }

        private void serve(HostConnection connection) {
            try (Socket socket = connection.socket) {
                DataInputStream in =
                        new DataInputStream(
                                new java.io.BufferedInputStream(socket.getInputStream(), 1 << 16));
                read(in, true);
                awaitEndOfHang(in);
                connection.write(
                        new Message()
                                .raw(message('R', new Message().int32(0)))
                                .raw(parameter("server_version", "15.0"))
                                .raw(ready())
                                .bytes());
                while (true) {
                    Frame frame = read(in, false);
                    awaitEndOfHang(in);
                    if (frame.type != 'Q') {
                        return;
                    }
                    connection.queries++;
                    String sql = frame.text();
                    if (sql.isBlank()) {
                        connection.write(
                                new Message().raw(message('I', new Message())).raw(ready()).bytes());
                    } else if (sql.equals("SELECT 1")) {
                        connection.write(row("1"));
                    } else if (sql.equals("SHOW load")) {
                        connection.write(
                                loadReport == null ? error("42501") : row(loadReport.get()));
                    } else {
                        handler.onQuery(connection, sql, connection.queries);
                    }
                }
            } catch (EOFException e) {
                // The router closed the connection.
            } catch (Exception e) {
                // The connection broke.
            } finally {
                synchronized (connections) {
                    connections.remove(connection);
                }
            }
        }

        /** Swallows what comes while the host is silent; ends when the router closes. */
        private void awaitEndOfHang(InputStream in) throws IOException {
            while (hangs) {
                if (in.read() < 0) {
                    throw new EOFException();
                }
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
            synchronized (connections) {
                for (HostConnection connection : List.copyOf(connections)) {
                    connection.socket.close();
                }
            }
        }
    }

    // ---- discovery

    /** An entry of the list. */
    record Entry(Host host, String state, long startedMs, String role) {
        String json() {
            return "{\"id\":\""
                    + host.id
                    + "\",\"addr\":\""
                    + host.address()
                    + "\",\"zone\":\"here\",\"kind\":\"plain\",\"cell\":"
                    + host.cell
                    + ",\"state\":\""
                    + state
                    + "\",\"weight\":1.0,\"started_ms\":"
                    + startedMs
                    + (role == null ? "" : ",\"role\":\"" + role + "\"")
                    + "}";
        }
    }

    /** Discovery: the whole list, and watches that wait for a change. */
    final class Discovery implements AutoCloseable {
        final ServerSocket server;
        private final Map<String, Entry> entries = new LinkedHashMap<>();
        private final Map<String, Long> changedAt = new LinkedHashMap<>();
        private long version = 1;

        /**
         * How many bytes of its answer the next watch that has something to tell writes before it
         * falls silent; negative if it answers normally.
         */
        volatile int cutNextAnswerAt = -1;

        /** When a whole answer that named a host as not ready was last written; 0 for never. */
        volatile long toldAt;

        /** When a call last came. */
        volatile long lastCallAt;

        Discovery(Entry... initial) throws IOException {
            for (Entry entry : initial) {
                entries.put(entry.host.id, entry);
                changedAt.put(entry.host.id, version);
            }
            server = new ServerSocket(0, 100, LOOPBACK);
            closing(this);
            daemon(this::accept).start();
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        synchronized void change(Entry entry) {
            version++;
            if (entry.state.equals("Gone")) {
                record("discovery: " + entry.json());
            }
            entries.put(entry.host.id, entry);
            changedAt.put(entry.host.id, version);
            record("discovery version " + version + ": " + entry.json());
            notifyAll();
        }

        synchronized String full() {
            return list(true, entries.values().stream().filter(e -> !e.state.equals("Gone")).toList());
        }

        private String list(boolean full, List<Entry> listed) {
            StringBuilder json =
                    new StringBuilder("{\"version\":" + version + ",\"full\":" + full)
                            .append(",\"servers\":[");
            for (int i = 0; i < listed.size(); i++) {
                json.append(i == 0 ? "" : ",").append(listed.get(i).json());
            }
            return json.append("]}").toString();
        }

        private synchronized String changesAfter(long after, long waitMs)
                throws InterruptedException {
            long until = now() + waitMs;
            while (version <= after && now() < until) {
                wait(Math.max(1, until - now()));
            }
            return list(
                    false,
                    entries.values().stream()
                            .filter(entry -> changedAt.get(entry.host.id) > after)
                            .toList());
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    daemon(() -> serve(socket)).start();
                }
            } catch (IOException e) {
                // Closed.
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                while (true) {
                    String head = readHead(in);
                    if (head == null) {
                        return;
                    }
                    lastCallAt = now();
                    String target = head.split(" ")[1];
                    record("discovery call " + target);
                    boolean watch = target.contains("after=");
                    String json = watch ? watch(target) : full();
                    byte[] body = json.getBytes(StandardCharsets.UTF_8);
                    byte[] answer =
                            new Message()
                                    .raw(
                                            ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                                            + "Content-Length: "
                                                            + body.length
                                                            + "\r\n\r\n")
                                                    .getBytes(StandardCharsets.UTF_8))
                                    .raw(body)
                                    .bytes();
                    int cut = cutNextAnswerAt;
                    if (cut >= 0 && watch && json.contains("\"id\"")) {
                        cutNextAnswerAt = -1;
                        int written = Math.min(answer.length - 1, cut);
                        out.write(answer, 0, written);
                        out.flush();
                        record(
                                "discovery falls silent on this watch after "
                                        + written
                                        + " of "
                                        + answer.length
                                        + " bytes");
                        // Silent: the connection stays open, and nothing more comes.
                        while (in.read() >= 0) {}
                        record("discovery: the router closed the silent watch");
                        return;
                    }
                    out.write(answer);
                    out.flush();
                    if (json.contains("Terminating") && toldAt == 0) {
                        toldAt = now();
                    }
                    record("discovery answered " + json);
                }
            } catch (IOException | InterruptedException e) {
                // The router closed the connection.
            }
        }

        private String watch(String target) throws InterruptedException {
            long after = 0;
            long waitMs = 0;
            for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
                String[] parts = pair.split("=");
                if (parts[0].equals("after")) {
                    after = Long.parseLong(parts[1]);
                } else if (parts[0].equals("wait_ms")) {
                    waitMs = Long.parseLong(parts[1]);
                }
            }
            return changesAfter(after, Math.min(60_000, waitMs));
        }

        private String readHead(InputStream in) throws IOException {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = in.read();
                if (next < 0) {
                    return null;
                }
                head.append((char) next);
            }
            return head.toString();
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    // ---- the router's process

    /** A router that was started with the line {@code run} of the deploy file. */
    final class Router implements AutoCloseable {
        final Process process;
        final int port;

        Router(String settings, Discovery discovery, int sockets) throws Exception {
            try (ServerSocket free = new ServerSocket(0, 1, LOOPBACK)) {
                port = free.getLocalPort();
            }
            Path root = Path.of(System.getProperty("review.root"));
            Path folder = Path.of(System.getProperty("review.tmp"));
            Path config = folder.resolve("config.json");
            Files.writeString(
                    config,
                    "{\"name\":\"n1\",\"listen\":\"127.0.0.1:"
                            + port
                            + "\",\"discovery\":\""
                            + discovery.address()
                            + "\",\"seed\":\""
                            + Long.toHexString(System.nanoTime())
                            + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":"
                            + sockets
                            + "},\"known\":"
                            + discovery.full()
                            + ",\"settings\":"
                            + settings
                            + "}");
            ProcessBuilder builder =
                    new ProcessBuilder("/bin/sh", "-c", runLine(root)).directory(root.toFile());
            builder.environment().put("ROUTER_NAME", "n1");
            builder.environment().put("ROUTER_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("ROUTER_DISCOVERY", discovery.address());
            builder.environment().put("ROUTER_CONFIG", config.toString());
            builder.environment().remove("IRONWIND_HCL");
            builder.redirectOutput(folder.resolve("router.out").toFile());
            builder.redirectError(folder.resolve("router.log").toFile());
            process = builder.start();
            closing(this);
            Files.writeString(folder.resolve("router.pid"), Long.toString(process.pid()));
            record("router started, pid " + process.pid());
            awaitReady();
        }

        private static String runLine(Path root) throws IOException {
            for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
                if (line.startsWith("run = \"")) {
                    int end = line.indexOf("\"   #");
                    return line.substring("run = \"".length(), end < 0 ? line.lastIndexOf('"') : end);
                }
            }
            throw new IllegalStateException("no line run in the deploy file");
        }

        private void awaitReady() throws Exception {
            long until = now() + 30_000;
            while (now() < until && process.isAlive()) {
                try (Socket socket = new Socket()) {
                    socket.connect(new InetSocketAddress(LOOPBACK, port), 1000);
                    socket.setSoTimeout(10_000);
                    DataInputStream in = new DataInputStream(socket.getInputStream());
                    socket.getOutputStream().write(startup());
                    socket.getOutputStream().write(query(""));
                    while (read(in, false).type != 'I') {}
                    record("router ready");
                    return;
                } catch (IOException e) {
                    Thread.sleep(50);
                }
            }
            throw new IllegalStateException("the router did not become ready");
        }

        void signal(String name) throws Exception {
            record("SIG" + name + " to the router");
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        }

        @Override
        public void close() throws Exception {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }
    }

    // ---- clients

    /** The answer to one command: ok with a value, refused, failed, or no answer. */
    static final class Answer {
        volatile String kind = "none";
        volatile String value = "";
        volatile String code = "";
        volatile long atMs;

        @Override
        public String toString() {
            return kind + (code.isEmpty() ? "" : " " + code) + (value.isEmpty() ? "" : " " + value);
        }
    }

    /** A client's connection, for one command at a time. */
    final class Client implements AutoCloseable {
        final Socket socket;
        final DataInputStream in;
        final OutputStream out;

        Client(Router router) throws IOException {
            this(router, 0, 10_000);
        }

        Client(Router router, int receiveBuffer, int timeoutMs) throws IOException {
            socket = new Socket();
            if (receiveBuffer > 0) {
                socket.setReceiveBufferSize(receiveBuffer);
            }
            socket.connect(new InetSocketAddress(LOOPBACK, router.port), 2000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMs);
            in =
                    new DataInputStream(
                            new java.io.BufferedInputStream(socket.getInputStream(), 8192));
            out = socket.getOutputStream();
            out.write(startup());
            while (read(in, false).type != 'Z') {}
        }

        void send(String... statements) throws IOException {
            Message all = new Message();
            for (String sql : statements) {
                all.raw(query(sql));
            }
            out.write(all.bytes());
        }

        /** Reads the answer to one command, up to its ReadyForQuery. */
        Answer receive(int timeoutMs) {
            Answer answer = new Answer();
            try {
                socket.setSoTimeout(timeoutMs);
                boolean complete = false;
                String value = "";
                while (true) {
                    Frame frame = read(in, false);
                    if (frame.type == 'D') {
                        value =
                                new String(
                                        frame.body,
                                        6,
                                        frame.body.length - 6,
                                        StandardCharsets.ISO_8859_1);
                    } else if (frame.type == 'C') {
                        complete = true;
                    } else if (frame.type == 'E') {
                        answer.code = frame.field('C');
                        answer.kind =
                                answer.code.equals("53300") || answer.code.equals("57P03")
                                        ? "refused"
                                        : "failed";
                    } else if (frame.type == 'Z') {
                        if (complete) {
                            answer.kind = "ok";
                            answer.value = value;
                        }
                        break;
                    }
                }
            } catch (IOException e) {
                answer.value = e.getClass().getSimpleName();
            }
            answer.atMs = now();
            return answer;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Ends with the exit code that a case returns; 2 if it could not run. */
    interface Case {
        boolean holds(Bench bench) throws Exception;
    }

    static void run(Case body) {
        int code = 2;
        Thread watchdog =
                daemon(
                        () -> {
                            try {
                                Thread.sleep(110_000);
                            } catch (InterruptedException e) {
                                return;
                            }
                            System.out.println("could not run: it took too long");
                            System.exit(2);
                        });
        watchdog.start();
        Bench bench = null;
        try {
            bench = new Bench(Path.of(System.getProperty("review.record")));
            Bench closed = bench;
            Runtime.getRuntime()
                    .addShutdownHook(
                            new Thread(
                                    () -> {
                                        try {
                                            closed.close();
                                        } catch (IOException e) {
                                            // Nothing more can be done.
                                        }
                                    }));
            boolean holds = body.holds(bench);
            bench.say(holds ? "RESULT the rule held" : "RESULT the rule was broken");
            code = holds ? 0 : 1;
        } catch (Throwable e) {
            System.out.println("could not run: " + e);
            e.printStackTrace();
            if (bench != null) {
                bench.record("could not run: " + e);
            }
        }
        System.exit(code);
    }
}
