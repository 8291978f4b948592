package rig;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Usual clients: reads of one method at a steady rate, each client one request at a time. */
final class Load {
    static final String METHOD = "archive-read";

    private static final int CLIENTS = 4;
    private static final long TIME_MS = 1_200;

    /** Up to so long after its time, a request without an answer is not lost yet. */
    private static final long LOST_AFTER_MS = 500;

    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger others = new AtomicInteger();
    private final List<String> lost = Collections.synchronizedList(new ArrayList<>());
    private volatile boolean stopped;

    /** Starts clients that send so many reads a second together. */
    Load(Record record, int port, int perSecond) {
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            Sockets.daemon("client", () -> run(record, port, client, perSecond));
        }
    }

    private void run(Record record, int port, int client, int perSecond) throws IOException {
        try (Caller caller = new Caller(port)) {
            for (int n = 0; !stopped; n++) {
                String id = Caller.newId();
                Caller.Answer answer = caller.ask(
                        Caller.read(id, METHOD, TIME_MS, 0, "key-" + client + "-" + n),
                        TIME_MS + LOST_AFTER_MS + Case.SLACK_MS);
                record.add("client " + id + ": " + answer);
                (answer.end() == Caller.End.SERVED ? served : others).incrementAndGet();
                if (answer.end() == Caller.End.NONE) {
                    lost.add(id);
                    return;
                }
                Sockets.sleep(1_000L * CLIENTS / perSecond);
            }
        }
    }

    void stop() {
        stopped = true;
    }

    int served() {
        return served.get();
    }

    /** Returns the requests without an answer half a second after their time. */
    List<String> lost() {
        synchronized (lost) {
            return new ArrayList<>(lost);
        }
    }

    @Override
    public String toString() {
        return served + " served, " + others + " not";
    }
}
