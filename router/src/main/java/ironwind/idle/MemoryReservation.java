package ironwind.idle;

import ironwind.idle.MemoryBudget.Use;

/**
 * Memory of a {@link MemoryBudget} that one owner holds for one use, in bytes. The owner resizes it
 * with what it stores and releases it at its end.
 */
public final class MemoryReservation {
    private final MemoryBudget budget;
    private final Use use;
    private long bytes;

    /** Creates an empty reservation. */
    public MemoryReservation(MemoryBudget budget, Use use) {
        this.budget = budget;
        this.use = use;
    }

    /** Returns the size in bytes. */
    public long bytes() {
        return bytes;
    }

    /**
     * Grows to the given size if the budget allows it. Does nothing if it is that large already.
     *
     * @return whether it has at least this size
     */
    public boolean tryGrowTo(long newBytes) {
        if (newBytes <= bytes) {
            return true;
        }
        boolean reserved = budget.tryReserve(use, newBytes - bytes);
        bytes = reserved ? newBytes : bytes;
        return reserved;
    }

    /** Sets the size even if the budget is exceeded, for data that is in memory already. */
    public void resizeTo(long newBytes) {
        long difference = newBytes - bytes;
        bytes = newBytes;
        budget.forceReserve(use, difference);
    }

    /** Sets the size to zero. */
    public void release() {
        resizeTo(0);
    }
}
