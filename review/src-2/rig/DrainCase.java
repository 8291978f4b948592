package rig;

import java.io.IOException;
import java.util.List;

/** Usual clients read while one of three hosts begins to drain under trouble with discovery. */
abstract class DrainCase extends Case {
    private static final long GRACE_MS = 500;

    /** Begins the trouble, before the router starts. */
    abstract void prepare(DiscoveryStandIn discovery);

    /** Returns when the drain counts as told at the latest, in Unix milliseconds. */
    abstract long toldBy(long drainsAt, DiscoveryStandIn discovery);

    /** Returns how long clients send after the drain began. */
    abstract long runMs();

    @Override
    void play() throws IOException {
        DiscoveryStandIn discovery = new DiscoveryStandIn(record);
        HostStandIn first = new HostStandIn("s-a1", "primary", record);
        HostStandIn second = new HostStandIn("s-b2", "replica", record);
        HostStandIn third = new HostStandIn("s-c3", "replica", record);
        discovery.set(first, 0, "Ready", 0, "primary");
        discovery.set(second, 0, "Ready", 0, "replica");
        discovery.set(third, 0, "Ready", 0, "replica");
        if (trouble) {
            prepare(discovery);
        }
        Settings settings = Settings.boards();
        try (RouterProcess router = RouterProcess.start(settings, discovery, folder, record)) {
            Load load = new Load(record, router.port, 40);
            Sockets.sleep(3_000);
            long drainsAt = discovery.set(third, 0, "Terminating", 0, "replica");
            Sockets.sleep(runMs());
            load.stop();
            require(load.served() > 200, "clients were not served: " + load);
            long told = toldBy(drainsAt, discovery);
            record.add("the drain counts as told at " + record.at(told) + " at the latest");
            List<HostStandIn.Send> late = third.sends().stream()
                    .filter(send -> send.atMs() > told + GRACE_MS + SLACK_MS).toList();
            if (!late.isEmpty()) {
                broken(late.size() + " requests reached the draining host after its grace, the"
                        + " last " + (late.get(late.size() - 1).atMs() - told)
                        + " ms after the drain counted as told");
            }
        }
    }
}
