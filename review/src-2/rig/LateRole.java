package rig;

import java.io.IOException;
import java.util.List;

/**
 * A primary hangs in the middle of an answer and is replaced. When it goes on, it tells the router
 * that it is a replica, and then ends the answer that it had begun as the primary. The rule on the
 * age of data.
 */
final class LateRole extends Case {
    private static final String READ = "busca-acervo";
    private static final String WRITE = "gravar-foto";
    private static final long READ_TIME_MS = 2_500;
    private static final long WRITE_TIME_MS = 5_000;
    private static final long BOUND_MS = 500;

    /** What an answer tells counts as known so long after it was written. */
    private static final long KNOWN_AFTER_MS = 100;

    /** Given up after 1.3 s, and a replica takes over 1.8 s later. */
    private static final long TAKE_OVER_MS = 3_100;

    private static final long HANG_MS = 4_000;

    /** Between two reads of the client. */
    private static final long PAUSE_MS = 900;

    private volatile boolean stopped;
    private volatile int served;

    public static void main(String[] arguments) throws IOException {
        new LateRole().run(arguments);
    }

    @Override
    void play() throws IOException {
        DiscoveryStandIn discovery = new DiscoveryStandIn(record);
        HostStandIn first = new HostStandIn("s-a1", "primary", record);
        HostStandIn second = new HostStandIn("s-b2", "replica", record);
        discovery.set(first, 0, "Ready", 0, "primary");
        for (String id : List.of("s-b2", "s-c3", "s-d4", "s-e5")) {
            HostStandIn host = id.equals(second.id) ? second
                    : new HostStandIn(id, "replica", record);
            host.position = now -> now - 5;
            host.reportsLoad = true;
            discovery.set(host, 0, "Ready", 0, "replica");
        }
        first.reportsLoad = true;
        // A second group, so that the host that hangs is one of ten; nothing is asked of it.
        for (String id : List.of("s-f6", "s-g7", "s-h8", "s-i9", "s-j0")) {
            String role = id.equals("s-f6") ? "primary" : "replica";
            discovery.set(new HostStandIn(id, role, record), 1, "Ready", 0, role);
        }
        try (RouterProcess router =
                RouterProcess.start(Settings.acervo(), discovery, folder, record)) {
            Sockets.daemon("client", () -> read(router.port));
            Sockets.sleep(3_000);
            Caller writer = new Caller(router.port);
            Caller other = new Caller(router.port);
            if (trouble) {
                first.hangInNextAnswer();
            }
            String begun = Caller.newId();
            writer.send(Caller.write(begun, WRITE, WRITE_TIME_MS, begun, 0, "foto-1"));
            Sockets.sleep(100);
            String held = Caller.newId();
            other.send(Caller.write(held, WRITE, WRITE_TIME_MS, held, 0, "foto-2"));
            Sockets.sleep(100);
            if (trouble) {
                require(first.hangs(), "the primary did not hang");
                replace(first, second);
            }
            record.add("client " + held + ": " + other.next(WRITE_TIME_MS));
            record.add("client " + begun + ": " + writer.next(WRITE_TIME_MS));
            Sockets.sleep(3_000);
            stopped = true;
            require(served > 0, "no read was served");
            judge(first);
        }
    }

    private void replace(HostStandIn old, HostStandIn successor) {
        long stoodAt = now();
        // While the group has no primary, the positions of all its members stand still.
        Sockets.sleep(TAKE_OVER_MS);
        old.role = "replica";
        successor.position = now -> now;
        successor.role = "primary";
        record.add("host " + successor.id + " takes over");
        Sockets.sleep(HANG_MS - TAKE_OVER_MS);
        long resumedAt = now();
        // It applies the log twice as fast as that grows, until it has caught up.
        old.position = now -> Math.min(now - 5, stoodAt + 2 * Math.max(0, now - resumedAt));
        old.resume();
    }

    private void read(int port) throws IOException {
        try (Caller caller = new Caller(port)) {
            while (!stopped) {
                String id = Caller.newId();
                Caller.Answer answer =
                        caller.ask(Caller.read(id, READ, READ_TIME_MS, 0, "key-" + id), 4_000);
                record.add("client " + id + ": " + answer);
                served += answer.end() == Caller.End.SERVED ? 1 : 0;
                Sockets.sleep(PAUSE_MS);
            }
        }
    }

    private void judge(HostStandIn host) {
        for (HostStandIn.Send send : host.sends()) {
            long age = send.atMs() - send.positionMs();
            boolean told = host.replicaAnswerTimes().stream()
                    .anyMatch(at -> at + KNOWN_AFTER_MS < send.atMs());
            if (send.role().equals("replica") && send.comment().get("c").equals(READ) && told
                    && age > BOUND_MS + SLACK_MS) {
                broken("read " + send.id() + " was sent to " + host.id + " at "
                        + record.at(send.atMs()) + " with data " + age + " ms old, although that"
                        + " host had told the router that it is a replica");
            }
        }
    }
}
