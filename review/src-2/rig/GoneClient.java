package rig;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.HashSet;
import java.util.Set;

/**
 * A client sends many commands at once and leaves before their answers. No attempt may begin for it
 * more than 0.1 s after that.
 */
final class GoneClient extends Case {
    private static final int COMMANDS = 40;
    private static final long ALLOWED_MS = 100;
    private static final long TIME_MS = 3_000;

    /** How long a write takes at its primary under load; its soft deadline is 500 ms. */
    private static final long SERVICE_MS = 300;

    public static void main(String[] arguments) throws IOException {
        new GoneClient().run(arguments);
    }

    @Override
    void play() throws IOException {
        DiscoveryStandIn discovery = new DiscoveryStandIn(record);
        List<HostStandIn> hosts = new ArrayList<>();
        for (String id : List.of("s-a1", "s-b2", "s-c3")) {
            HostStandIn host = new HostStandIn(id, hosts.isEmpty() ? "primary" : "replica", record);
            host.serviceMs = SERVICE_MS;
            host.reportsLoad = true;
            if (host.role.equals("replica")) {
                host.position = now -> now - 5;
            }
            discovery.set(host, 0, "Ready", 0, host.role);
            hosts.add(host);
        }
        Settings settings = Settings.wgtn();
        try (RouterProcess router = RouterProcess.start(settings, discovery, folder, record)) {
            Caller caller = new Caller(router.port);
            Set<String> ids = new HashSet<>();
            String[] commands = new String[COMMANDS];
            for (int i = 0; i < COMMANDS; i++) {
                String id = Caller.newId();
                ids.add(id);
                commands[i] = Caller.write(id, "move-submit", TIME_MS, id, 0, "key-" + i);
            }
            caller.send(commands);
            record.add("client sends " + COMMANDS + " commands at once");
            Sockets.sleep(50);
            long leftAt = Long.MAX_VALUE / 2;
            if (trouble) {
                caller.close();
                leftAt = now();
                record.add("client leaves");
            } else {
                for (String command : commands) {
                    record.add("client " + Wire.comment(command).get("id") + ": "
                            + caller.next(2 * TIME_MS));
                }
            }
            Sockets.sleep(5_000);
            long bound = leftAt + ALLOWED_MS + SLACK_MS;
            for (HostStandIn host : hosts) {
                for (HostStandIn.Send send : host.sends()) {
                    if (ids.contains(send.id()) && send.atMs() > bound) {
                        broken("an attempt for " + send.id() + " began at " + host.id + " "
                                + (send.atMs() - leftAt) + " ms after its client had left");
                    }
                }
            }
        }
    }
}
