package ironwind.idle;

import java.util.EnumMap;
import java.util.Map;

/** Accounts for the memory that data in transit occupies, in bytes per use, against one limit. */
public final class MemoryBudget {
    /** What memory is reserved for. */
    public enum Use {
        /**
         * Input from clients that is not processed yet: messages that have arrived in part, and
         * commands that wait while reading is paused.
         */
        UNPROCESSED_INPUT("incoming"),
        /** Statements of RPCs that are not answered yet. */
        OPEN_RPCS("open"),
        /** Answers from hosts that have arrived in part. */
        PARTIAL_ANSWERS("making"),
        /** Answers that are waiting for clients' sockets to accept them. */
        UNSENT_ANSWERS("owed");

        private final String label;

        Use(String label) {
            this.label = label;
        }

        /**
         * Returns the name that {@code SHOW memory} prints; it may differ from the constant's name.
         */
        public String label() {
            return label;
        }
    }

    /**
     * Fraction of the limit above which new work is refused, so that work in progress can finish.
     */
    private static final double NEW_WORK_FRACTION = 0.75;

    private final long limit;
    private final Map<Use, long[]> reserved = new EnumMap<>(Use.class);
    private final Map<Use, long[]> refused = new EnumMap<>(Use.class);
    private long totalReserved;
    private long peakReserved;

    /** Creates a budget of the given number of bytes. */
    public MemoryBudget(long bytes) {
        this.limit = bytes;
        for (Use use : Use.values()) {
            reserved.put(use, new long[1]);
            refused.put(use, new long[1]);
        }
    }

    /**
     * Reserves memory if the limit allows it and counts a refusal otherwise. A negative number of
     * bytes releases memory and always succeeds.
     *
     * @return whether the memory is reserved
     */
    public boolean tryReserve(Use use, long bytes) {
        if (bytes > 0 && totalReserved + bytes > limit) {
            refused.get(use)[0]++;
            return false;
        }
        forceReserve(use, bytes);
        return true;
    }

    /**
     * Reserves memory even beyond the limit, for data that cannot be refused, such as an unsent
     * answer. A negative number of bytes releases memory.
     *
     * @throws IllegalStateException if more is released than is reserved for that use
     */
    public void forceReserve(Use use, long bytes) {
        long[] current = reserved.get(use);
        if (current[0] + bytes < 0) {
            throw new IllegalStateException(
                    "cannot release " + -bytes + " bytes of " + use + ": reserved " + current[0]);
        }
        current[0] += bytes;
        totalReserved += bytes;
        peakReserved = Math.max(peakReserved, totalReserved);
    }

    /**
     * Releases memory.
     *
     * @throws IllegalStateException if more is released than is reserved for that use
     */
    public void release(Use use, long bytes) {
        forceReserve(use, -bytes);
    }

    /** Returns whether new work of this size leaves enough memory for the work in progress. */
    public boolean hasRoomForNew(long bytes) {
        return totalReserved + bytes <= NEW_WORK_FRACTION * limit;
    }

    /** Returns the bytes that are reserved for a use. */
    public long reserved(Use use) {
        return reserved.get(use)[0];
    }

    /** Returns how often {@link #tryReserve} has refused memory for a use. */
    public long refusedCount(Use use) {
        return refused.get(use)[0];
    }

    /** Returns the bytes that are reserved for all uses together. */
    public long totalReserved() {
        return totalReserved;
    }

    /** Returns the highest value that {@link #totalReserved} has had. */
    public long peakReserved() {
        return peakReserved;
    }

    /** Returns the size of the budget in bytes. */
    public long limit() {
        return limit;
    }
}
