package rig;

import java.io.IOException;

/**
 * Discovery's connection falls silent in the middle of an answer to a watch, and the host that the
 * answer told of begins to drain. The rule on drains.
 */
final class SilentAnswer extends DrainCase {
    private static final long RUN_MS = 25_000;

    private volatile long silentAt;

    public static void main(String[] arguments) throws IOException {
        new SilentAnswer().run(arguments);
    }

    @Override
    void prepare(DiscoveryStandIn discovery) {
        discovery.trouble = (watch, answer) -> {
            if (!watch || silentAt != 0) {
                return answer.length;
            }
            silentAt = now();
            return answer.length / 2;
        };
    }

    @Override
    long toldBy(long drainsAt, DiscoveryStandIn discovery) {
        // 6 s after it fell silent, or 2 s after the wait of the poll, if that is later.
        return Math.max(Math.max(silentAt, drainsAt) + 6_000,
                discovery.firstPollEndsAt() + 2_000);
    }

    @Override
    long runMs() {
        return RUN_MS;
    }
}
