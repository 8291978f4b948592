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
        /** RPCs whose answers are not written yet, and the statements of those without one. */
        OPEN_RPCS("open"),
        /** Requests that are waiting for hosts' sockets to accept them. */
        UNSENT_REQUESTS("asking"),
        /** Input from hosts, until it is passed on as an answer or dropped. */
        PARTIAL_ANSWERS("making"),
        /** Answers that are waiting for the answers to earlier commands of their connection. */
        HELD_ANSWERS("held"),
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

    /**
     * Fraction of the limit that held answers may take, so that those which can be written at once
     * always find memory.
     */
    private static final double HELD_FRACTION = 0.5;

    private final long limit;
    private final Map<Use, long[]> reserved = new EnumMap<>(Use.class);
    private final Map<Use, long[]> refused = new EnumMap<>(Use.class);
    private long totalReserved;
    private long peakReserved;
    private Runnable onReleased = () -> {};

    /** Creates a budget of the given number of bytes. */
    public MemoryBudget(long bytes) {
        this.limit = bytes;
        for (Use use : Use.values()) {
            reserved.put(use, new long[1]);
            refused.put(use, new long[1]);
        }
    }

    /** Sets what runs each time that memory has been released. */
    public void onReleased(Runnable action) {
        onReleased = action;
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

    /** Counts memory for a use that was refused by a narrower limit than that of the budget. */
    public void recordRefusal(Use use) {
        refused.get(use)[0]++;
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
        if (bytes < 0) {
            onReleased.run();
        }
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
        return bytes <= roomForNew();
    }

    /**
     * Returns how many bytes of new work leave enough memory for the work in progress; negative if
     * there is too much work already.
     */
    public long roomForNew() {
        return (long) (NEW_WORK_FRACTION * limit) - totalReserved;
    }

    /**
     * Returns whether a host's answer of this size, which is in memory already, may stay there as a
     * held answer. Counts a refusal otherwise.
     */
    public boolean mayHold(long bytes) {
        boolean hasRoom = reserved(Use.HELD_ANSWERS) + bytes <= HELD_FRACTION * limit;
        if (!hasRoom) {
            refused.get(Use.HELD_ANSWERS)[0]++;
        }
        return hasRoom;
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
