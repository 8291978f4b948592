package rig;

import java.io.IOException;
import java.util.List;

/**
 * A former primary fails and recovers by turns. It has told the router that it is a replica, dies
 * once more and comes back behind, and the list, which shows the roles as at the start, still
 * names it as the primary. The rule on the age of data.
 */
final class ReturnedHost extends Case {
    private static final String METHOD = "lobby-read";
    private static final long TIME_MS = 1_500;
    private static final long BOUND_MS = 300;

    /** What an answer tells counts as known so long after it was written. */
    private static final long KNOWN_AFTER_MS = 100;

    /** The bad part of a turn of 12 s: 55 %. */
    private static final long DOWN_MS = 6_600;

    /** Between two reads of the client. */
    private static final long PAUSE_MS = 1_000;

    private static final long UP_MS = 5_400;

    /** How late the list shows that the process has died, and that it runs again. */
    private static final long GONE_NOTICE_MS = 1_500;

    private static final long READY_NOTICE_MS = 400;

    /** How long after the primary's death a replica takes over: 2.5 and 3.8 s at most. */
    private static final long TAKE_OVER_MS = 6_200;

    public static void main(String[] arguments) throws IOException {
        new ReturnedHost().run(arguments);
    }

    @Override
    void play() throws IOException {
        DiscoveryStandIn discovery = new DiscoveryStandIn(record);
        HostStandIn first = new HostStandIn("s-a1", "primary", record);
        HostStandIn second = new HostStandIn("s-b2", "replica", record);
        HostStandIn third = new HostStandIn("s-c3", "replica", record);
        HostStandIn fourth = new HostStandIn("s-d4", "replica", record);
        HostStandIn fifth = new HostStandIn("s-e5", "replica", record);
        discovery.set(first, 0, "Ready", 0, "primary");
        for (HostStandIn host : List.of(second, third, fourth, fifth)) {
            host.position = now -> now - 5;
            discovery.set(host, 0, "Ready", 0, "replica");
        }
        Settings settings = Settings.boards().extra("list_role", "\"initial\"");
        try (RouterProcess router = RouterProcess.start(settings, discovery, folder, record)) {
            Readers readers = new Readers(router.port);
            Sockets.sleep(3_500);
            turn(discovery, first, fifth);
            turn(discovery, first, null);
            readers.stopped = true;
            require(readers.served > 0, "no read was served");
            judge(first);
        }
    }

    /** One turn: the host dies, the list follows, and it comes back as a replica, behind. */
    private void turn(DiscoveryStandIn discovery, HostStandIn host, HostStandIn successor)
            throws IOException {
        if (!trouble) {
            Sockets.sleep(DOWN_MS + UP_MS);
            return;
        }
        long stoodAt = host.position.applyAsLong(now());
        host.die();
        Sockets.sleep(GONE_NOTICE_MS);
        discovery.set(host, 0, "Gone", 0, "primary");
        Sockets.sleep(TAKE_OVER_MS - GONE_NOTICE_MS);
        if (successor != null) {
            successor.position = now -> now;
            successor.role = "primary";
            record.add("host " + successor.id + " takes over");
        }
        Sockets.sleep(DOWN_MS - TAKE_OVER_MS);
        long startedAt = now();
        host.role = "replica";
        // It applies the log twice as fast as that grows, until it has caught up.
        host.position = now -> Math.min(now - 5, stoodAt + 2 * (now - startedAt));
        host.startAgain();
        Sockets.sleep(READY_NOTICE_MS);
        discovery.set(host, 0, "Ready", startedAt, "primary");
        Sockets.sleep(UP_MS - READY_NOTICE_MS);
    }

    private void judge(HostStandIn host) {
        for (HostStandIn.Send send : host.sends()) {
            long age = send.atMs() - send.positionMs();
            boolean told = host.replicaAnswerTimes().stream()
                    .anyMatch(at -> at + KNOWN_AFTER_MS < send.atMs());
            if (send.role().equals("replica") && told && age > BOUND_MS + SLACK_MS) {
                broken("read " + send.id() + " was sent to " + host.id + " at "
                        + record.at(send.atMs()) + " with data " + age + " ms old, although that"
                        + " host had told the router that it is a replica");
            }
        }
    }

    /** A client that only reads, a little less than once a second. */
    private final class Readers {
        volatile boolean stopped;
        volatile int served;

        Readers(int port) {
            Sockets.daemon("client", () -> {
                try (Caller caller = new Caller(port)) {
                    while (!stopped) {
                        String id = Caller.newId();
                        Caller.Answer answer =
                                caller.ask(Caller.read(id, METHOD, TIME_MS, 0, "key-" + id), 3_000);
                        record.add("client " + id + ": " + answer);
                        served += answer.end() == Caller.End.SERVED ? 1 : 0;
                        Sockets.sleep(PAUSE_MS);
                    }
                }
            });
        }
    }
}
