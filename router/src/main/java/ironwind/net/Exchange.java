package ironwind.net;

import ironwind.model.Rpc;
import ironwind.pg.Statement;

/** A command of a client and its answer, in a list of the connection's unanswered commands. */
final class Exchange {
    /** The statement of an RPC, including one of the warm-up; null for any other command. */
    final Statement statement;

    private final Runnable onAnswered;

    /** The RPC that the command started; null before it is created and if there is none. */
    Rpc rpc;

    /** Fires if the RPC is not answered in time; null before it is created and if there is none. */
    Timers.Timer watchdog;

    /** The next command of the same connection; null if there is none. */
    Exchange next;

    /** Bytes of the memory budget that are reserved until it is answered. */
    int reservedBytes;

    private boolean answered;
    private byte[][] answer;

    /**
     * Creates an exchange without an answer.
     *
     * @param statement null if the command is not an RPC
     * @param onAnswered runs once, when the answer is set
     */
    Exchange(Statement statement, Runnable onAnswered) {
        this.statement = statement;
        this.onAnswered = onAnswered;
    }

    /** Sets the answer unless there is one already, and returns whether it was set. */
    boolean answer(byte[]... parts) {
        if (answered) {
            return false;
        }
        answered = true;
        answer = parts;
        if (watchdog != null) {
            watchdog.cancel();
        }
        onAnswered.run();
        return true;
    }

    /** Returns whether the answer was set, even if it has been taken since. */
    boolean isAnswered() {
        return answered;
    }

    /** Returns the answer and drops its own reference to it. */
    byte[][] takeAnswer() {
        byte[][] parts = answer;
        answer = null;
        return parts;
    }
}
