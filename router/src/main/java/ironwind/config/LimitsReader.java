package ironwind.config;

import ironwind.hcl.Section;
import ironwind.idle.Limits;
import ironwind.model.Span;

/** The block {@code idle} of {@code deploy/ironwind.hcl}: the limits on client connections. */
final class LimitsReader {
    private static final int MOST_CONNECTIONS = 1_000_000;
    private static final int MOST_A_SECOND = 1_000_000;
    private static final Span SHORTEST = Span.ofMillis(10);
    private static final Span LONGEST = Span.ofMillis(30L * 24 * 3_600_000);
    private static final long LEAST_BYTES = 256 << 10;
    private static final long MOST_BYTES = 1L << 40;

    private LimitsReader() {}

    static Limits read(Section idle, Limits otherwise) {
        int connections =
                idle.whole("connections", 1, MOST_CONNECTIONS, otherwise.maxConnections());
        int newPerSecond = idle.whole("new_per_second", 0, MOST_A_SECOND, otherwise.acceptRate());
        Limits limits =
                new Limits(
                        connections,
                        idle.whole("per_address", 0, MOST_CONNECTIONS, otherwise.maxPerAddress()),
                        idle.whole("per_customer", 0, MOST_CONNECTIONS, otherwise.maxPerCustomer()),
                        newPerSecond,
                        idle.whole(
                                "new_at_once",
                                0,
                                MOST_A_SECOND,
                                newPerSecond == 0
                                        ? otherwise.acceptBurst()
                                        : Math.max(1, newPerSecond / 10)),
                        idle.span("startup_time", SHORTEST, LONGEST, otherwise.startupTimeout()),
                        idle.span("message_time", SHORTEST, LONGEST, otherwise.messageTimeout()),
                        idle.span(
                                "greeted_time",
                                Span.ZERO,
                                LONGEST,
                                otherwise.firstRequestTimeout()),
                        idle.span("served_time", Span.ZERO, LONGEST, otherwise.idleTimeout()),
                        idle.span(
                                "crowded_time", Span.ZERO, LONGEST, otherwise.crowdedIdleTimeout()),
                        idle.part("crowded_part", otherwise.crowdedFraction()),
                        idle.bytes("memory", LEAST_BYTES, MOST_BYTES, otherwise.memoryBytes()),
                        idle.bytes("owed_each", 1, MOST_BYTES, otherwise.maxUnsentPerClient()),
                        idle.bytes("owed_all", 1, MOST_BYTES, otherwise.maxUnsentTotal()),
                        idle.span(
                                "slow_reader_time",
                                SHORTEST,
                                LONGEST,
                                otherwise.slowReaderTimeout()),
                        idle.whole("open_rpcs", 1, MOST_CONNECTIONS, otherwise.openRpcThreshold()),
                        idle.span(
                                "turn_time",
                                new Span(100),
                                Span.ofMillis(100),
                                otherwise.turnDuration()),
                        idle.span(
                                "crowd_time", Span.ofMillis(1), LONGEST, otherwise.maxQueueTime()),
                        idle.span("active_time", Span.ZERO, LONGEST, otherwise.activeWindow()),
                        idle.span("keepalive", Span.ZERO, LONGEST, otherwise.keepalive()),
                        idle.bytes("send_buffer", 0, 1 << 30, otherwise.sendBufferBytes()));
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
                "is not less than memory, so that slow readers could leave " + "nothing for others",
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
                "is longer than served_time, though it holds when room is short",
                "crowded_time",
                "served_time");
        idle.require(
                newPerSecond > 0 || !idle.has("new_at_once"),
                "says nothing without new_per_second",
                "new_at_once");
        idle.done();
        return limits;
    }
}
