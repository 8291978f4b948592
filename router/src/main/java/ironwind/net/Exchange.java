package ironwind.net;

import ironwind.model.Rpc;
import ironwind.pg.Statement;

/** One command of a client and the answer owed for it. */
final class Exchange {
    /** What was asked; null where no RPC came of it. */
    final Statement statement;

    private final Runnable whenAnswered;
    Rpc rpc;

    /** Runs out where an answer is owed and does not come. */
    Timers.Timer guard;

    /** The command that came after it on its connection. */
    Exchange next;

    /** Bytes lent for it until it is answered. */
    int lent;

    private boolean answered;
    private byte[][] answer;

    Exchange(Statement statement, Runnable whenAnswered) {
        this.statement = statement;
        this.whenAnswered = whenAnswered;
    }

    /** Takes the one answer; true if it is the first. */
    boolean answer(byte[]... parts) {
        if (answered) {
            return false;
        }
        answered = true;
        answer = parts;
        if (guard != null) {
            guard.cancel();
        }
        whenAnswered.run();
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
