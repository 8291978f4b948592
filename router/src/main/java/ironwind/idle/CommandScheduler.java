package ironwind.idle;

import ironwind.model.Span;

/**
 * Shares the event loop between clients by their commands. A connection executes a limited number
 * of commands each time that its socket is polled. If more have arrived, it joins a FIFO queue,
 * whose connections execute further commands in turns; sockets are polled between two turns. So the
 * time until a client's command is executed does not depend on how many commands another client has
 * sent at once.
 *
 * <p>Times are microseconds of {@link MonotonicTime}.
 */
public final class CommandScheduler {
    /** Commands that a connection executes before others have their turn. */
    static final int MAX_COMMANDS_IN_A_ROW = 8;

    private final Span turnDuration;
    private final ConnectionQueue queue = new ConnectionQueue();
    private long turnEndsAt;
    private boolean turnBegun;
    private long deferrals;

    /**
     * Creates a scheduler with an empty queue.
     *
     * @param turnDuration how long queued connections execute commands before sockets are polled
     */
    public CommandScheduler(Span turnDuration) {
        this.turnDuration = turnDuration;
    }

    /**
     * Records that the socket of a connection was polled, so that it may execute commands again.
     */
    public void recordPoll(TrackedConnection connection) {
        connection.commandsInARow = 0;
    }

    /** Records that a connection executes a command. */
    public void recordCommand(TrackedConnection connection) {
        connection.commandsInARow++;
    }

    /** Returns whether a connection may execute its next command now. */
    public boolean mayExecute(TrackedConnection connection) {
        return !isQueued(connection) && connection.commandsInARow < MAX_COMMANDS_IN_A_ROW;
    }

    /** Queues a connection that has further commands, unless it is queued already. */
    public void enqueue(TrackedConnection connection) {
        if (!isQueued(connection)) {
            connection.commandNode = new ConnectionQueue.Node(connection);
            queue.append(connection.commandNode);
            deferrals++;
        }
    }

    /** Returns whether the connection is in the queue. */
    public boolean isQueued(TrackedConnection connection) {
        return connection.commandNode != null;
    }

    /** Begins a turn, in which at least one connection executes commands. */
    public void beginTurn(long now) {
        turnEndsAt = now + turnDuration.us();
        turnBegun = true;
    }

    /**
     * Removes and returns the next connection that may execute commands in this turn, or null if
     * the turn is over or the queue is empty. Drops connections that were closed.
     */
    public TrackedConnection poll(long now) {
        while (hasQueued() && queue.first().state() == null) {
            removeFirst();
        }
        if (!hasQueued() || !turnBegun && now >= turnEndsAt) {
            return null;
        }
        turnBegun = false;
        TrackedConnection next = removeFirst();
        next.commandsInARow = 0;
        return next;
    }

    private TrackedConnection removeFirst() {
        TrackedConnection connection = queue.first();
        queue.remove(connection.commandNode);
        connection.commandNode = null;
        return connection;
    }

    /** Returns whether any connection is in the queue. */
    public boolean hasQueued() {
        return queue.first() != null;
    }

    /** Returns the number of connections in the queue. */
    public int queueSize() {
        return queue.size();
    }

    /** Returns how often a connection has joined the queue. */
    public long deferrals() {
        return deferrals;
    }
}
