package rig;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Discovery's agent as the protocol page describes it: the whole list, and a watch that answers
 * with the changed entries once there are any, or with none after its wait.
 */
final class DiscoveryStandIn {
    /** One entry of the list, with the version in which it last changed. */
    record Entry(String id, String address, int cell, String state, long startedMs, String role,
            long version) {
        private String json() {
            return "{\"id\":\"" + id + "\",\"addr\":\"" + address
                    + "\",\"zone\":\"a\",\"kind\":\"m1\",\"cell\":" + cell + ",\"state\":\""
                    + state + "\",\"weight\":1.0,\"started_ms\":" + startedMs + ",\"role\":\""
                    + role + "\"}";
        }
    }

    /** Decides what becomes of an answer; by default it is written whole. */
    interface Trouble {
        /**
         * @param watch whether the call is a watch
         * @return how many bytes of the answer are written before the connection falls silent;
         *     the whole length for all of it
         */
        int bytesWritten(boolean watch, byte[] answer);
    }

    private final Record record;
    private final ServerSocket listener;
    private final Map<String, Entry> entries = new TreeMap<>();
    private long version = 1;

    /** How long each answer is late. */
    volatile long delayMs;

    /** When the wait of the first watch is over, in Unix milliseconds. */
    private volatile long firstPollEndsAt;

    volatile Trouble trouble = (watch, answer) -> answer.length;

    DiscoveryStandIn(Record record) throws IOException {
        this.record = record;
        this.listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        Sockets.daemon("discovery", () -> {
            while (true) {
                Socket socket = listener.accept();
                Sockets.daemon("discovery call", () -> serve(socket));
            }
        });
    }

    int port() {
        return listener.getLocalPort();
    }

    long firstPollEndsAt() {
        return firstPollEndsAt;
    }

    /** Sets an entry and returns when it was set, in Unix milliseconds. */
    synchronized long set(HostStandIn host, int cell, String state, long startedMs, String role) {
        version++;
        entries.put(host.id, new Entry(host.id, host.address(), cell, state, startedMs, role,
                version));
        record.add("discovery has " + host.id + " " + state + " " + role + ", version " + version);
        notifyAll();
        return System.currentTimeMillis();
    }

    /** Returns the whole list; entries that are gone are left out. */
    synchronized String fullList() {
        return list(true, entries.values().stream()
                .filter(entry -> !entry.state().equals("Gone")).toList());
    }

    private String list(boolean full, List<Entry> listed) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":["
                + listed.stream().map(Entry::json).collect(Collectors.joining(",")) + "]}";
    }

    private synchronized String changes(long after, long waitMs) {
        long end = System.currentTimeMillis() + waitMs;
        while (version <= after && System.currentTimeMillis() < end) {
            try {
                wait(Math.max(1, end - System.currentTimeMillis()));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        List<Entry> changed = new ArrayList<>();
        entries.values().stream().filter(entry -> entry.version() > after).forEach(changed::add);
        return list(false, changed);
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedReader in = new BufferedReader(
                    new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String path = line.split(" ")[1];
                while (!in.readLine().isEmpty()) {
                    // Skips the header fields.
                }
                record.add("discovery is asked " + path);
                if (!answer(socket, path)) {
                    // Silent from here on: the connection stays open and nothing comes.
                    while (in.readLine() != null) {
                        record.add("discovery is silent on this connection");
                    }
                    record.add("the router closes the silent connection to discovery");
                    return;
                }
            }
        }
    }

    /** Answers a call, and returns whether the connection goes on after it. */
    private boolean answer(Socket socket, String path) throws IOException {
        Map<String, String> query = new LinkedHashMap<>();
        String[] parts = path.split("\\?");
        for (String pair : parts.length < 2 ? new String[0] : parts[1].split("&")) {
            query.put(pair.split("=")[0], pair.split("=")[1]);
        }
        boolean watch = query.containsKey("after");
        long waitMs = Long.parseLong(query.getOrDefault("wait_ms", "0"));
        firstPollEndsAt =
                watch && firstPollEndsAt == 0 ? System.currentTimeMillis() + waitMs : firstPollEndsAt;
        String body = watch
                ? changes(Long.parseLong(query.get("after")), waitMs)
                : fullList();
        Sockets.sleep(delayMs);
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        byte[] whole = Wire.join(
                ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                        + content.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1),
                content);
        int written = Math.min(whole.length, trouble.bytesWritten(watch, whole));
        socket.getOutputStream().write(whole, 0, written);
        record.add("discovery answers " + (watch ? "the watch" : "with the whole list") + ": "
                + written + " of " + whole.length + " bytes");
        return written == whole.length;
    }
}
