package rig;

import java.io.IOException;

/**
 * One answer of one host arrives spoilt while usual clients read. Every request has to get its
 * answer.
 */
abstract class SpoiltCase extends Case {
    /** Returns what is wrong with the answer. */
    abstract HostStandIn.Spoilt spoilt();

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
                third.spoilNext(spoilt());
            }
            Sockets.sleep(10_000);
            load.stop();
            require(load.served() > 50, "clients were not served: " + load);
            for (String id : load.lost()) {
                broken("request " + id + " had no answer half a second after its time");
            }
            if (!load.lost().isEmpty()) {
                record.add("a new client, 10 s after the spoilt answer: " + newClient(router));
            }
        }
    }

    private static String newClient(RouterProcess router) throws IOException {
        try (Caller caller = new Caller(router.port)) {
            return caller.ask("", 3_000).toString();
        }
    }
}
