package ironwind.config;

import ironwind.hcl.BlockReader;
import ironwind.idle.Limits;
import ironwind.model.Span;

/** Reads the limits on client connections from the block {@code idle} of the settings file. */
final class LimitsReader {
    private static final int MAX_CONNECTIONS = 1_000_000;
    private static final int MAX_PER_SECOND = 1_000_000;
    private static final Span MIN_TIMEOUT = Span.ofMillis(10);
    private static final Span MAX_TIMEOUT = Span.ofMillis(30L * 24 * 3_600_000);
    private static final long MIN_MEMORY = 256 << 10;
    private static final long MAX_BYTES = 1L << 40;

    private LimitsReader() {}

    static Limits read(BlockReader idle, Limits defaults) {
        int connections =
                idle.integer("connections", 1, MAX_CONNECTIONS, defaults.maxConnections());
        int newPerSecond = idle.integer("new_per_second", 0, MAX_PER_SECOND, defaults.acceptRate());
        Limits limits =
                new Limits(
                        connections,
                        idle.integer("per_address", 0, MAX_CONNECTIONS, defaults.maxPerAddress()),
                        idle.integer("per_customer", 0, MAX_CONNECTIONS, defaults.maxPerCustomer()),
                        newPerSecond,
                        idle.integer(
                                "new_at_once",
                                0,
                                MAX_PER_SECOND,
                                newPerSecond == 0
                                        ? defaults.acceptBurst()
                                        : Math.max(1, newPerSecond / 10)),
                        idle.duration(
                                "startup_time",
                                MIN_TIMEOUT,
                                MAX_TIMEOUT,
                                defaults.startupTimeout()),
                        idle.duration(
                                "message_time",
                                MIN_TIMEOUT,
                                MAX_TIMEOUT,
                                defaults.messageTimeout()),
                        idle.duration(
                                "greeted_time",
                                Span.ZERO,
                                MAX_TIMEOUT,
                                defaults.firstRequestTimeout()),
                        idle.duration(
                                "served_time", Span.ZERO, MAX_TIMEOUT, defaults.idleTimeout()),
                        idle.duration(
                                "crowded_time",
                                Span.ZERO,
                                MAX_TIMEOUT,
                                defaults.crowdedIdleTimeout()),
                        idle.fraction("crowded_part", defaults.crowdedFraction()),
                        idle.bytes("memory", MIN_MEMORY, MAX_BYTES, defaults.memoryBytes()),
                        idle.bytes("owed_each", 1, MAX_BYTES, defaults.maxUnsentPerClient()),
                        idle.bytes("owed_all", 1, MAX_BYTES, defaults.maxUnsentTotal()),
                        idle.duration(
                                "slow_reader_time",
                                MIN_TIMEOUT,
                                MAX_TIMEOUT,
                                defaults.slowReaderTimeout()),
                        idle.integer("open_rpcs", 1, MAX_CONNECTIONS, defaults.openRpcThreshold()),
                        idle.duration(
                                "turn_time",
                                new Span(100),
                                Span.ofMillis(100),
                                defaults.turnDuration()),
                        idle.duration(
                                "crowd_time",
                                Span.ofMillis(1),
                                MAX_TIMEOUT,
                                defaults.maxQueueTime()),
                        idle.duration(
                                "active_time", Span.ZERO, MAX_TIMEOUT, defaults.activeWindow()),
                        idle.duration("keepalive", Span.ZERO, MAX_TIMEOUT, defaults.keepalive()),
                        idle.bytes("send_buffer", 0, 1 << 30, defaults.sendBufferBytes()));
        idle.require(
                limits.maxPerAddress() <= connections,
                "is more than connections",
                "per_address",
                "connections");
        idle.require(
                limits.maxPerCustomer() <= connections,
                "is more than connections",
                "per_customer",
                "connections");
        idle.require(
                limits.maxUnsentTotal() < limits.memoryBytes(),
                "is not less than memory: slow readers could take all of it",
                "owed_all",
                "memory");
        idle.require(
                limits.maxUnsentPerClient() <= limits.maxUnsentTotal(),
                "is more than owed_all",
                "owed_each",
                "owed_all");
        idle.require(
                limits.crowdedIdleTimeout().us() == 0
                        || limits.idleTimeout().us() == 0
                        || !limits.crowdedIdleTimeout().longerThan(limits.idleTimeout()),
                "is longer than served_time, although it applies when connections run short",
                "crowded_time",
                "served_time");
        idle.require(
                newPerSecond > 0 || !idle.has("new_at_once"),
                "has no effect without new_per_second",
                "new_at_once");
        idle.reportUnknownNames();
        return limits;
    }
}
