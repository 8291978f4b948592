package rig;

import java.io.IOException;

/**
 * Discovery is slow: each of its answers comes 2.5 s late, from before the router's start on. A
 * host begins to drain. The rule on drains.
 */
final class SlowDiscovery extends DrainCase {
    private static final long DELAY_MS = 2_500;
    private static final long RUN_MS = 25_000;

    public static void main(String[] arguments) throws IOException {
        new SlowDiscovery().run(arguments);
    }

    @Override
    void prepare(DiscoveryStandIn discovery) {
        discovery.delayMs = DELAY_MS;
    }

    @Override
    long toldBy(long drainsAt, DiscoveryStandIn discovery) {
        // At the latest 6 s after discovery had it and could be reached.
        return drainsAt + 6_000;
    }

    @Override
    long runMs() {
        return RUN_MS;
    }
}
