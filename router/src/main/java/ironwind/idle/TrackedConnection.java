package ironwind.idle;

/**
 * State of one client connection: queue positions and numbers only, so that an idle connection has
 * no list, map or timer of its own. The class that does the connection's I/O extends it.
 */
public abstract class TrackedConnection {
    /** Queue of its current state; null before it is added and after it is removed. */
    StateQueue stateQueue;

    final ConnectionQueue.Node stateNode = new ConnectionQueue.Node(this);

    /** Usage of its address; null before it is added and after it is removed. */
    ConnectionUsage addressUsage;

    /** Usage of the customer of its last answer; null if there is none or no limit applies. */
    ConnectionUsage customerUsage;

    /** Position among its customer's idle connections; null while it is not one of them. */
    ConnectionQueue.Node idleNode;

    /** Position among the connections with unsent answers; null while it has none. */
    ConnectionQueue.Node unsentNode;

    /** Position in the read queue; null while it is not queued. */
    ConnectionQueue.Node readNode;

    /** Position among the connections with further commands; null while it is not one of them. */
    ConnectionQueue.Node commandNode;

    /** Position among the connections that wait to be read ahead; null while it does not wait. */
    ConnectionQueue.Node inputNode;

    /** Commands that it has executed since its last turn began or its socket was polled. */
    int commandsInARow;

    /** When it entered its state, in microseconds of {@link MonotonicTime}. */
    long stateSince;

    /**
     * When its unsent answers began to accumulate or its socket last accepted a part of them, in
     * microseconds of {@link MonotonicTime}.
     */
    long lastDrainedAt;

    /**
     * When it was put into the read queue, in microseconds of {@link MonotonicTime}; 0 if it has
     * been read since.
     */
    long queuedAt;

    /**
     * When it last had an answer, in microseconds of {@link MonotonicTime}. The initial value lies
     * so far back that the connection is not active.
     */
    long lastAnsweredAt = Long.MIN_VALUE / 2;

    int unsentBytes;

    /** Returns its state; null before it is added and after it is removed. */
    public final ConnectionState state() {
        return stateQueue == null ? null : stateQueue.state;
    }

    /** Returns the bytes of answers that its socket has not accepted. */
    public final int unsentBytes() {
        return unsentBytes;
    }
}
