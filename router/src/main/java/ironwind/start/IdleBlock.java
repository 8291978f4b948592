package ironwind.start;

import ironwind.hcl.BlockReader;
import ironwind.idle.Limits;
import ironwind.model.Span;

/** The block {@code idle} of {@code deploy/ironwind.hcl}: the limits on client connections. */
final class IdleBlock {
    private static final int MOST_CONNECTIONS = 1_000_000;
    private static final int MOST_A_SECOND = 1_000_000;
    private static final Span SHORTEST = Span.ofMillis(10);
    private static final Span LONGEST = Span.ofMillis(30L * 24 * 3_600_000);
    private static final long LEAST_BYTES = 256 << 10;
    private static final long MOST_BYTES = 1L << 40;

    private IdleBlock() {}

    static Limits read(BlockReader idle, Limits otherwise) {
        int connections = idle.integer("connections", 1, MOST_CONNECTIONS, otherwise.connections());
        int newPerSecond =
                idle.integer("new_per_second", 0, MOST_A_SECOND, otherwise.newPerSecond());
        Limits limits =
                new Limits(
                        connections,
                        idle.integer("per_address", 0, MOST_CONNECTIONS, otherwise.perAddress()),
                        idle.integer("per_customer", 0, MOST_CONNECTIONS, otherwise.perCustomer()),
                        newPerSecond,
                        idle.integer(
                                "new_at_once",
                                0,
                                MOST_A_SECOND,
                                newPerSecond == 0
                                        ? otherwise.newAtOnce()
                                        : Math.max(1, newPerSecond / 10)),
                        idle.duration("startup_time", SHORTEST, LONGEST, otherwise.startupTime()),
                        idle.duration("message_time", SHORTEST, LONGEST, otherwise.messageTime()),
                        idle.duration("greeted_time", Span.ZERO, LONGEST, otherwise.greetedTime()),
                        idle.duration("served_time", Span.ZERO, LONGEST, otherwise.servedTime()),
                        idle.duration("crowded_time", Span.ZERO, LONGEST, otherwise.crowdedTime()),
                        idle.fraction("crowded_part", otherwise.crowdedPart()),
                        idle.bytes("memory", LEAST_BYTES, MOST_BYTES, otherwise.memory()),
                        idle.bytes("owed_each", 1, MOST_BYTES, otherwise.owedEach()),
                        idle.bytes("owed_all", 1, MOST_BYTES, otherwise.owedAll()),
                        idle.duration(
                                "slow_reader_time", SHORTEST, LONGEST, otherwise.slowReaderTime()),
                        idle.integer("open_rpcs", 1, MOST_CONNECTIONS, otherwise.openRpcs()),
                        idle.duration(
                                "turn_time",
                                new Span(100),
                                Span.ofMillis(100),
                                otherwise.turnTime()),
                        idle.duration(
                                "crowd_time", Span.ofMillis(1), LONGEST, otherwise.crowdTime()),
                        idle.duration("active_time", Span.ZERO, LONGEST, otherwise.activeTime()),
                        idle.duration("keepalive", Span.ZERO, LONGEST, otherwise.keepalive()),
                        idle.bytes("send_buffer", 0, 1 << 30, otherwise.sendBuffer()));
        idle.require(
                limits.perAddress() <= connections,
                "is more than connections",
                "per_address",
                "connections");
        idle.require(
                limits.perCustomer() <= connections,
                "is more than connections",
                "per_customer",
                "connections");
        idle.require(
                limits.owedAll() < limits.memory(),
                "is not less than memory, so that slow readers could leave " + "nothing for others",
                "owed_all",
                "memory");
        idle.require(
                limits.owedEach() <= limits.owedAll(),
                "is more than owed_all",
                "owed_each",
                "owed_all");
        idle.require(
                limits.crowdedTime().us() == 0
                        || limits.servedTime().us() == 0
                        || !limits.crowdedTime().longerThan(limits.servedTime()),
                "is longer than served_time, though it holds when room is short",
                "crowded_time",
                "served_time");
        idle.require(
                newPerSecond > 0 || !idle.has("new_at_once"),
                "says nothing without new_per_second",
                "new_at_once");
        idle.reportUnknownNames();
        return limits;
    }
}
