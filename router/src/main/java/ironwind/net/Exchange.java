package ironwind.net;

import ironwind.model.Rpc;
import ironwind.pg.Statement;

/** One command of a client and the answer owed for it. */
final class Exchange {
    /** What was asked; null where no RPC came of it. */
    final Statement statement;

    private final Runnable onAnswered;
    Rpc rpc;

    /** Runs out where an answer is owed and does not come. */
    Timers.Timer watchdog;

    /** The command that came after it on its connection. */
    Exchange next;

    /** Bytes lent for it until it is answered. */
    int reservedBytes;

    private boolean answered;
    private byte[][] answer;

    Exchange(Statement statement, Runnable onAnswered) {
        this.statement = statement;
        this.onAnswered = onAnswered;
    }

    /** Takes the one answer; true if it is the first. */
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

    boolean isAnswered() {
        return answered;
    }

    /** Hands the answer over, and keeps it no longer. */
    byte[][] takeAnswer() {
        byte[][] parts = answer;
        answer = null;
        return parts;
    }
}
