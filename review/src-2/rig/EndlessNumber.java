package rig;

import java.io.IOException;

/**
 * One answer of one host arrives spoilt: its position is a number that goes on for 2 MB. Every
 * request has to get its answer.
 */
final class EndlessNumber extends Case {
    private static final int DIGITS = 2_000_000;

    public static void main(String[] arguments) throws IOException {
        new EndlessNumber().run(arguments);
    }

    @Override
    void play() throws IOException {
        DiscoveryStandIn discovery = new DiscoveryStandIn(record);
        HostStandIn first = new HostStandIn("s-a1", "primary", record);
        HostStandIn second = new HostStandIn("s-b2", "replica", record);
        HostStandIn third = new HostStandIn("s-c3", "replica", record);
        discovery.set(first, 0, "Ready", 0, "primary");
        discovery.set(second, 0, "Ready", 0, "replica");
        discovery.set(third, 0, "Ready", 0, "replica");
        Settings settings = Settings.boards();
        try (RouterProcess router = RouterProcess.start(settings, discovery, folder, record)) {
            Load load = new Load(record, router.port, 40);
            Sockets.sleep(3_000);
            if (trouble) {
                third.spoilNextPosition("1".repeat(DIGITS));
            }
            Sockets.sleep(10_000);
            load.stop();
            require(load.served() > 50, "clients were not served: " + load);
            for (String id : load.lost()) {
                broken("request " + id + " had no answer half a second after its time");
            }
        }
    }
}
