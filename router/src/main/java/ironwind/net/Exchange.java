package ironwind.net;

import ironwind.idle.MemoryReservation;
import ironwind.model.Rpc;
import ironwind.pg.Statement;

/** A command of a client and its answer, in a list of the connection's unanswered commands. */
final class Exchange {
    /** The RPC's id; null if the command is not an RPC. */
    final String id;

    /** The statement of an RPC that may still be sent; null for any other command. */
    private Statement statement;

    private final Owner owner;

    /** The RPC that the command started; null before it is created and if there is none. */
    Rpc rpc;

    /** Fires if the RPC is not answered in time; null before it is created and if there is none. */
    Timers.Timer watchdog;

    /** The next command of the same connection; null if there is none. */
    Exchange next;

    /** Memory of the RPC and its statement; null if none is reserved. */
    MemoryReservation rpcMemory;

    /** Memory of an answer that waits for those before it; null if it does not wait. */
    MemoryReservation heldMemory;

    private boolean answered;
    private byte[][] answer;

    /** Where the answer goes. */
    interface Owner {
        /** The answer is set; called once. */
        void onAnswered(Exchange exchange);

        /**
         * Returns whether an answer of this size can be taken: whether it can be written at once,
         * or there is memory to hold it.
         */
        default boolean hasRoomFor(Exchange exchange, int answerBytes) {
            return true;
        }
    }

    /**
     * Creates an exchange without an answer.
     *
     * @param statement null if the command is not an RPC
     */
    Exchange(Statement statement, Owner owner) {
        this.id = statement == null ? null : statement.attributes().get("id");
        this.statement = statement;
        this.owner = owner;
    }

    /** Whether the command is an RPC, including one of the warm-up. */
    boolean isRpc() {
        return id != null;
    }

    /** Returns the length of the name of the RPC's session; zero if it has none. */
    int sessionChars() {
        return rpc == null || rpc.session == null ? 0 : rpc.session.length();
    }

    /** Returns the statement of an RPC that may still be sent; null for any other command. */
    Statement statement() {
        return statement;
    }

    /** Drops the statement of an RPC that will not be sent. */
    void dropStatement() {
        statement = null;
    }

    /** Returns whether an answer of this size can be taken. */
    boolean hasRoomFor(int answerBytes) {
        return owner.hasRoomFor(this, answerBytes);
    }

    /** Sets the answer unless there is one already, and returns whether it was set. */
    boolean answer(byte[]... parts) {
        if (answered) {
            return false;
        }
        answered = true;
        answer = parts;
        statement = null;
        if (watchdog != null) {
            watchdog.cancel();
        }
        owner.onAnswered(this);
        return true;
    }

    /** Returns whether the answer was set, even if it has been taken since. */
    boolean isAnswered() {
        return answered;
    }

    /** Returns the answer, and drops it with the memory that was reserved for the exchange. */
    byte[][] takeAnswer() {
        byte[][] parts = answer;
        discard();
        return parts;
    }

    /** Returns the size of the answer in bytes; zero if there is none. */
    int answerBytes() {
        return answer == null ? 0 : totalBytes(answer);
    }

    /** Returns the size of an answer's parts together. */
    static int totalBytes(byte[]... parts) {
        int total = 0;
        for (byte[] part : parts) {
            total += part.length;
        }
        return total;
    }

    /** Drops statement and answer, which nobody needs any more, and releases their memory. */
    void discard() {
        statement = null;
        answer = null;
        release(rpcMemory);
        release(heldMemory);
    }

    private static void release(MemoryReservation memory) {
        if (memory != null) {
            memory.release();
        }
    }
}
