package ironwind.net;

import ironwind.idle.CommandScheduler;
import ironwind.idle.TrackedConnection;
import ironwind.model.Span;
import java.util.function.LongSupplier;

/** Carries out the decisions of a {@link CommandScheduler} on the event loop. */
final class CommandTurns {
    private final CommandScheduler scheduler;
    private final Timers timers;
    private final LongSupplier monotonicMicros;
    private boolean turnScheduled;

    /**
     * Creates turns for a set of connections.
     *
     * @param monotonicMicros returns the monotonic time in microseconds
     */
    CommandTurns(Span turnDuration, Timers timers, LongSupplier monotonicMicros) {
        this.scheduler = new CommandScheduler(turnDuration);
        this.timers = timers;
        this.monotonicMicros = monotonicMicros;
    }

    /** Returns the scheduler, for its statistics. */
    CommandScheduler scheduler() {
        return scheduler;
    }

    /** Records that a client's socket was polled. */
    void recordPoll(ClientConnection client) {
        scheduler.recordPoll(client);
    }

    /** Returns whether a client may execute its next command now. */
    boolean mayExecute(ClientConnection client) {
        return scheduler.mayExecute(client);
    }

    /** Records that a client executes a command. */
    void recordCommand(ClientConnection client) {
        scheduler.recordCommand(client);
    }

    /** Returns whether a client waits for its next turn. */
    boolean isWaiting(ClientConnection client) {
        return scheduler.isQueued(client);
    }

    /** Lets a client execute further commands in a later turn. */
    void defer(ClientConnection client) {
        scheduler.enqueue(client);
        scheduleTurn();
    }

    private void scheduleTurn() {
        if (!turnScheduled) {
            turnScheduled = true;
            timers.executeAfterPoll(this::runTurn);
        }
    }

    private void runTurn() {
        turnScheduled = false;
        scheduler.beginTurn(monotonicMicros.getAsLong());
        TrackedConnection next = scheduler.poll(monotonicMicros.getAsLong());
        while (next != null) {
            ((ClientConnection) next).executeBufferedCommands();
            next = scheduler.poll(monotonicMicros.getAsLong());
        }
        if (scheduler.hasQueued()) {
            scheduleTurn();
        }
    }
}
