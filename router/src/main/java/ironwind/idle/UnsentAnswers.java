package ironwind.idle;

/**
 * Tracks the clients with unsent answers, in the order in which their sockets last accepted data.
 * The first of them is both the next to reach the slow reader timeout and the first to be closed
 * when the total is over its limit.
 */
public final class UnsentAnswers {
    private final Limits limits;
    private final MemoryBudget budget;
    private final ConnectionQueue queue = new ConnectionQueue();

    /** Creates an empty set whose bytes are reserved from the budget. */
    public UnsentAnswers(Limits limits, MemoryBudget budget) {
        this.limits = limits;
        this.budget = budget;
    }

    /** Records that the connection's socket did not accept this many bytes. */
    public void add(TrackedConnection connection, int bytes, long now) {
        budget.forceReserve(MemoryBudget.Use.UNSENT_ANSWERS, bytes);
        connection.unsentBytes += bytes;
        if (connection.unsentNode == null && connection.unsentBytes > 0) {
            enqueue(connection, now);
        }
    }

    /** Records that the connection's socket has accepted this many of the unsent bytes. */
    public void recordDrained(TrackedConnection connection, int bytes, long now) {
        if (bytes > 0) {
            budget.release(MemoryBudget.Use.UNSENT_ANSWERS, bytes);
            connection.unsentBytes -= bytes;
            queue.remove(connection.unsentNode);
            connection.unsentNode = null;
            if (connection.unsentBytes > 0) {
                enqueue(connection, now);
            }
        }
    }

    private void enqueue(TrackedConnection connection, long now) {
        connection.lastDrainedAt = now;
        connection.unsentNode = new ConnectionQueue.Node(connection);
        queue.append(connection.unsentNode);
    }

    /** Removes a closed connection and releases the memory of its unsent bytes. */
    public void remove(TrackedConnection connection) {
        recordDrained(connection, connection.unsentBytes, 0);
    }

    /** Returns whether the connection has so many unsent bytes that it must not be read from. */
    public boolean isOverClientLimit(TrackedConnection connection) {
        return connection.unsentBytes > limits.maxUnsentPerClient();
    }

    /**
     * Returns a connection to close for the reason {@link #closeReason}, or null if there is none.
     * Returns the same connection until it is removed or its socket accepts data.
     */
    public TrackedConnection nextToClose(long now) {
        TrackedConnection first = queue.first();
        return first != null
                        && (isOverTotalLimit()
                                || now - first.lastDrainedAt > limits.slowReaderTimeout().us())
                ? first
                : null;
    }

    /** Returns why the connection that {@link #nextToClose} returns is to be closed. */
    public CloseReason closeReason() {
        return isOverTotalLimit() ? CloseReason.OWED_TOO_MUCH : CloseReason.SLOW_READER;
    }

    private boolean isOverTotalLimit() {
        return budget.reserved(MemoryBudget.Use.UNSENT_ANSWERS) > limits.maxUnsentTotal();
    }

    /** Returns the number of clients with unsent answers. */
    public int clientCount() {
        return queue.size();
    }
}
