package ironwind.idle;

import ironwind.idle.MemoryBudget.Use;

/**
 * Decides how much input of clients is held: the beginnings of messages, and commands that are read
 * ahead of those that are being executed. Reading ahead shows at once that a client has closed its
 * connection, which the operating system tells only after the last byte that the client wrote. A
 * few bytes of each connection are always read; above that, all connections share parts of the
 * memory budget. Connections that find none to read ahead wait in FIFO order.
 */
public final class InputBuffering {
    /** Input of a connection that is read whatever memory others have taken, in bytes. */
    static final int MIN_BYTES = 4 * 1024;

    /** Input of a connection at which reading pauses until some of it is executed, in bytes. */
    static final int MAX_BYTES = 1 << 20;

    /** Fraction of the memory budget that all input may take for more to be read ahead. */
    static final double READ_AHEAD_FRACTION = 0.25;

    /** Fraction of the memory budget that all input may take with the beginnings of messages. */
    static final double MESSAGE_FRACTION = 0.5;

    private final MemoryBudget budget;
    private final ConnectionQueue waiting = new ConnectionQueue();

    /** Creates an instance in which no connection waits. */
    public InputBuffering(MemoryBudget budget) {
        this.budget = budget;
    }

    /**
     * Returns whether the beginning of a message may be held.
     *
     * @param bytes the memory that it takes
     * @param additionalBytes how much of that isn't reserved yet
     */
    public boolean mayHoldMessage(int bytes, int additionalBytes) {
        return bytes <= MIN_BYTES
                || budget.reserved(Use.UNPROCESSED_INPUT) + additionalBytes
                        <= MESSAGE_FRACTION * budget.limit();
    }

    /**
     * Returns whether a connection may be read ahead. If memory is short, it waits until {@link
     * #pollReadable} returns it.
     *
     * @param bufferedBytes its input that has been read and not executed yet
     */
    public boolean mayReadAhead(TrackedConnection connection, int bufferedBytes) {
        if (bufferedBytes < MIN_BYTES) {
            return true;
        } else if (bufferedBytes >= MAX_BYTES || isWaiting(connection)) {
            return false;
        } else if (waiting.first() == null && hasRoom()) {
            return true;
        }
        connection.inputNode = new ConnectionQueue.Node(connection);
        waiting.append(connection.inputNode);
        return false;
    }

    private boolean hasRoom() {
        return budget.reserved(Use.UNPROCESSED_INPUT) < READ_AHEAD_FRACTION * budget.limit();
    }

    /** Returns whether a connection waits for memory. */
    public boolean isWaiting(TrackedConnection connection) {
        return connection.inputNode != null;
    }

    /**
     * Removes and returns the connection that has waited for longest, or null if none waits or
     * there is no memory. Drops connections that were closed.
     */
    public TrackedConnection pollReadable() {
        while (waiting.first() != null && waiting.first().state() == null) {
            removeFirst();
        }
        return waiting.first() == null || !hasRoom() ? null : removeFirst();
    }

    private TrackedConnection removeFirst() {
        TrackedConnection connection = waiting.first();
        waiting.remove(connection.inputNode);
        connection.inputNode = null;
        return connection;
    }

    /** Returns whether any connection waits for memory. */
    public boolean hasWaiting() {
        return waiting.first() != null;
    }

    /** Returns the number of connections that wait for memory. */
    public int waitingCount() {
        return waiting.size();
    }
}
