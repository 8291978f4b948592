package rig;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongUnaryOperator;

/**
 * A database host as the protocol page describes it. It welcomes any user at once, carries one
 * request at a time on each connection, and begins a query once its last byte has come.
 */
final class HostStandIn {
    private static final String HOME = "127.0.0.1";
    private static final int DEFAULT_VALUE_BYTES = 24;

    /** How long a thread that hung takes until it goes on where it was. */
    private static final long RESUME_MS = 30;

    private static final long REPORT_PERIOD_MS = 200;
    private static final long REPORT_DELAY_MS = 60;

    /**
     * A request that came in whole.
     *
     * @param atMs when its last byte had come, in Unix milliseconds
     * @param positionMs the position of the host's data then
     */
    record Send(HostStandIn host, long atMs, String id, Map<String, String> comment, String sql,
            String role, long positionMs) {}

    final String id;
    private final Record record;
    private final List<Send> sends = Collections.synchronizedList(new ArrayList<>());
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket listener;
    private final int port;

    /** The role that answers report: primary or replica. */
    volatile String role;

    /** The position of its data at a Unix time, both in milliseconds. */
    volatile LongUnaryOperator position = now -> now;

    /** How long a request takes. */
    volatile long serviceMs = 10;

    /** Whether it takes requests and answers none. */
    private volatile boolean hanging;

    /** Whether it hangs in the middle of its next answer. */
    private volatile boolean hangsInNextAnswer;

    /** Whether it answers SHOW load with a report. */
    volatile boolean reportsLoad;

    private final AtomicReference<String> report = new AtomicReference<>("");

    /** What is wrong with the next answer; null for nothing. */
    private final AtomicReference<Spoilt> spoilt = new AtomicReference<>();

    /**
     * An answer that arrives spoilt.
     *
     * @param tag its command tag; null for the right one
     * @param position the position that it gives; null for the right one
     */
    record Spoilt(String tag, String position) {}

    /** When answers that named it a replica were written. */
    private final List<Long> replicaAnswers = Collections.synchronizedList(new ArrayList<>());

    HostStandIn(String id, String role, Record record) throws IOException {
        this.id = id;
        this.role = role;
        this.record = record;
        this.listener = listen(0);
        this.port = listener.getLocalPort();
        accept(listener);
        Sockets.daemon("report " + id, this::refreshReport);
    }

    String address() {
        return HOME + ":" + port;
    }

    /** Returns the requests that came in whole so far. */
    List<Send> sends() {
        synchronized (sends) {
            return new ArrayList<>(sends);
        }
    }

    /** Hangs in the middle of its next answer, after its row and before its end. */
    void hangInNextAnswer() {
        hangsInNextAnswer = true;
    }

    boolean hangs() {
        return hanging;
    }

    /** Goes on: what it holds is answered now. */
    void resume() {
        hanging = false;
        record.add("host " + id + " goes on as a " + role);
    }

    private void awaitResume() {
        while (hanging) {
            Sockets.sleep(1);
        }
    }

    /** Spoils the next answer. */
    void spoilNext(Spoilt what) {
        spoilt.set(what);
    }

    /** Returns when answers that named it a replica were written, in Unix milliseconds. */
    List<Long> replicaAnswerTimes() {
        synchronized (replicaAnswers) {
            return new ArrayList<>(replicaAnswers);
        }
    }

    /** Dies as a process does: its connections are reset and new ones are refused. */
    void die() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            Sockets.reset(socket);
        }
        record.add("host " + id + " dies");
    }

    /** Starts again at the same address. */
    void startAgain() throws IOException {
        listener = listen(port);
        accept(listener);
        record.add("host " + id + " starts again");
    }

    private static ServerSocket listen(int port) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName(HOME), port), 512);
        return socket;
    }

    private void accept(ServerSocket open) {
        Sockets.daemon("accept " + id, () -> {
            while (true) {
                Socket socket = open.accept();
                sockets.add(socket);
                Sockets.daemon("host " + id, () -> serve(socket));
            }
        });
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            DataInputStream in =
                    new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            Wire.readStartup(in);
            write(socket, Wire.authenticationOk(), Wire.readyForQuery());
            for (Wire.Message message = Wire.read(in);
                    message != null && message.type() == 'Q';
                    message = Wire.read(in)) {
                answer(socket, message.text());
            }
        } finally {
            sockets.remove(socket);
        }
    }

    private void answer(Socket socket, String sql) throws IOException {
        if (sql.isBlank()) {
            write(socket, Wire.emptyQueryResponse(), Wire.readyForQuery());
            return;
        }
        Map<String, String> comment = Wire.comment(sql);
        if (!comment.containsKey("id")) {
            awaitResume();
            write(socket, probeAnswer(sql.strip()), Wire.readyForQuery());
            return;
        }
        long now = System.currentTimeMillis();
        Send send = new Send(this, now, comment.get("id"), comment, sql, role,
                position.applyAsLong(now));
        sends.add(send);
        record.add("host " + id + " (" + role + ", data " + (now - send.positionMs())
                + " ms old) gets " + send.id() + " " + comment.get("c") + " d="
                + comment.get("d"));
        Sockets.sleep(serviceMs);
        awaitResume();
        boolean write = !sql.contains("SELECT");
        long after = System.currentTimeMillis();
        String told = role;
        String tag = write ? "INSERT 0 1" : "SELECT 1";
        String applied = Long.toString(position.applyAsLong(after));
        Spoilt wrong = spoilt.getAndSet(null);
        if (wrong != null) {
            record.add("host " + id + " spoils its answer to " + send.id());
            tag = wrong.tag() == null ? tag : wrong.tag();
            applied = wrong.position() == null ? applied : wrong.position();
        }
        byte[] parameters = Wire.join(Wire.parameter("role", told),
                Wire.parameter("applied_ms", applied));
        if (write && !told.equals("primary")) {
            // A write that a primary still held when it was replaced ends in an error.
            boolean held = send.role().equals("primary");
            write(socket, parameters, Wire.error(held ? "XX000" : "25006", "not the primary"),
                    Wire.readyForQuery());
        } else if (hangsInNextAnswer) {
            hangsInNextAnswer = false;
            hanging = true;
            write(socket, parameters, Wire.row(value(sql), tag));
            record.add("host " + id + " hangs before the end of its answer to " + send.id());
            awaitResume();
            Sockets.sleep(RESUME_MS);
            record.add("host " + id + " ends its answer to " + send.id());
            write(socket, Wire.readyForQuery());
        } else {
            write(socket, parameters, Wire.row(value(sql), tag), Wire.readyForQuery());
        }
        if (told.equals("replica")) {
            replicaAnswers.add(System.currentTimeMillis());
        }
    }

    private byte[] probeAnswer(String sql) {
        if (sql.equals("SELECT 1")) {
            return Wire.row(new byte[] {'1'}, sql);
        } else if (!reportsLoad) {
            return Wire.error("42501", "no load reports here");
        }
        record.add("host " + id + " reports " + report);
        return Wire.row(report.get().getBytes(StandardCharsets.ISO_8859_1), "SHOW");
    }

    /** Refreshes the load report, which arrives a little late, as long as the host is up. */
    private void refreshReport() {
        while (true) {
            long now = System.currentTimeMillis();
            if (!listener.isClosed() && !hanging) {
                String next = String.format(Locale.ROOT, "x0=%.3f,x1=%d,inflight=1,util=0.31",
                        position.applyAsLong(now) / 1e3, role.equals("primary") ? 1 : 0);
                Sockets.sleep(REPORT_DELAY_MS);
                report.set(next);
            }
            Sockets.sleep(REPORT_PERIOD_MS - REPORT_DELAY_MS);
        }
    }

    /** Returns the value of a row: its key, filled up to the size that a key like big-999 names. */
    static byte[] value(String sql) {
        String key = Wire.key(sql);
        int size = key.startsWith("big-")
                ? Integer.parseInt(key.split("-")[1]) : DEFAULT_VALUE_BYTES;
        byte[] value = new byte[size];
        for (int i = 0; i < size; i++) {
            value[i] = (byte) key.charAt(i % key.length());
        }
        return value;
    }

    private static void write(Socket socket, byte[]... parts) throws IOException {
        socket.getOutputStream().write(Wire.join(parts));
    }
}
