package ironwind.idle;

import ironwind.model.Span;

/**
 * Schedules reads when many clients send at once. Active connections, which had an answer lately,
 * are read as soon as they are readable. Inactive ones are read until the current turn ends; later
 * ones are queued and read in FIFO order, and active connections are polled between two turns.
 * While too many RPCs are open, a queued connection is read only once it has waited so long that
 * its RPC can hardly meet its deadline. Such an RPC is pushed back, as is one that there is no
 * memory for: pushing back holds no memory.
 *
 * <p>Times are microseconds of {@link MonotonicTime}.
 */
public final class ReadScheduler {
    /** Unanswered commands of a connection at which reading from it pauses. */
    private static final int MAX_PENDING_COMMANDS = 16;

    /**
     * The most bytes that one read takes while memory is short: enough for most commands, which are
     * then pushed back.
     */
    private static final int MIN_READ_BYTES = 2_048;

    private final Limits limits;
    private final MemoryBudget budget;
    private final ConnectionQueue queue = new ConnectionQueue();
    private int peakQueueSize;
    private long turnEndsAt;
    private long deferredReads;
    private long overdueReads;

    /** Creates a scheduler with an empty queue. */
    public ReadScheduler(Limits limits, MemoryBudget budget) {
        this.limits = limits;
        this.budget = budget;
    }

    /** Begins a turn, in which inactive connections may be read. */
    public void beginTurn(long now) {
        turnEndsAt = now + limits.turnDuration().us();
    }

    /**
     * Returns whether a readable connection is to be read now. If not, it is queued, unless it is
     * already, and {@link #poll} returns it later.
     */
    public boolean readNowOrEnqueue(TrackedConnection connection, long now, int openRpcs) {
        if (isQueued(connection)) {
            return false;
        }
        // Work in progress is finished first: a message that has arrived in part, or an answer that
        // further commands are pipelined behind.
        boolean inProgress =
                connection.state() == ConnectionState.BUSY
                        || connection.state() == ConnectionState.RECEIVING;
        if (now >= turnEndsAt + limits.turnDuration().us()) {
            beginTurn(now);
        }
        if (inProgress
                || isActive(connection, now)
                || !hasQueued() && now < turnEndsAt && isBelowRpcThreshold(openRpcs)) {
            return true;
        }
        connection.queuedAt = now;
        connection.readNode = new ConnectionQueue.Node(connection);
        queue.append(connection.readNode);
        deferredReads++;
        peakQueueSize = Math.max(peakQueueSize, queue.size());
        return false;
    }

    private boolean isActive(TrackedConnection connection, long now) {
        return now - connection.lastAnsweredAt < limits.activeWindow().us();
    }

    /**
     * Removes and returns the next connection to read in this turn, or null if the turn is over or
     * none may be read. Drops closed connections from the head of the queue.
     */
    public TrackedConnection poll(long now, int openRpcs) {
        while (hasQueued() && queue.first().state() == null) {
            removeFirst();
        }
        if (now >= turnEndsAt || !hasEligible(now, openRpcs)) {
            return null;
        }
        if (isFirstOverdue(now)) {
            overdueReads++;
        }
        return removeFirst();
    }

    private TrackedConnection removeFirst() {
        TrackedConnection connection = queue.first();
        queue.remove(connection.readNode);
        connection.readNode = null;
        return connection;
    }

    /**
     * Returns whether a new turn would read a queued connection. If not, no turn is needed until an
     * RPC has ended or the first connection has reached the maximum queue time.
     */
    public boolean hasEligible(long now, int openRpcs) {
        return hasQueued() && (isBelowRpcThreshold(openRpcs) || isFirstOverdue(now));
    }

    /** Returns whether the connection is in the read queue. */
    public boolean isQueued(TrackedConnection connection) {
        return connection.readNode != null;
    }

    private boolean isBelowRpcThreshold(int openRpcs) {
        return openRpcs < limits.openRpcThreshold();
    }

    private boolean isFirstOverdue(long now) {
        return now - queue.first().queuedAt > limits.maxQueueTime().us();
    }

    /** Returns how long the data that is being read now has waited; zero if it was not queued. */
    public Span queueTime(TrackedConnection connection, long now) {
        return connection.queuedAt == 0
                ? Span.ZERO
                : new Span(Math.max(0, now - connection.queuedAt));
    }

    /**
     * Returns whether an RPC is to be pushed back.
     *
     * @param queueTime how long it has waited to be read
     * @param bytes the memory that it takes while it is open
     */
    public boolean shouldPushBack(Span queueTime, long bytes) {
        return queueTime.longerThan(limits.maxQueueTime()) || !budget.hasRoomForNew(bytes);
    }

    /**
     * Returns how many bytes the next read of any connection may take: no more than there is memory
     * for, but enough to push commands back.
     */
    public int maxReadBytes() {
        return (int) Math.max(MIN_READ_BYTES, Math.min(Integer.MAX_VALUE, budget.roomForNew()));
    }

    /**
     * Returns the number of unanswered commands of a connection from which on no more are started.
     * While memory is short, one is answered before the next is started, since each takes memory
     * until those before it are answered.
     */
    public int maxPendingCommands() {
        return budget.roomForNew() > 0 ? MAX_PENDING_COMMANDS : 1;
    }

    /** Resets the connection's queue time to zero, after its data has been read. */
    public void resetQueueTime(TrackedConnection connection) {
        connection.queuedAt = 0;
    }

    /** Returns whether any connection is in the read queue. */
    public boolean hasQueued() {
        return queue.first() != null;
    }

    /** Returns the number of connections in the read queue. */
    public int queueSize() {
        return queue.size();
    }

    /** Returns the highest value that {@link #queueSize} has had. */
    public int peakQueueSize() {
        return peakQueueSize;
    }

    /** Returns how often a connection was queued instead of read. */
    public long deferredReads() {
        return deferredReads;
    }

    /** Returns how many connections were read after more than the maximum queue time. */
    public long overdueReads() {
        return overdueReads;
    }
}
