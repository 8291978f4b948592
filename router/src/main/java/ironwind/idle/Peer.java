package ironwind.idle;

/**
 * What is kept of one connection: links and numbers in the object itself, so that an idle connection has no list,
 * map or timer of its own. Whoever does its I/O extends it.
 */
public abstract class Peer {
    /** Links of the chain of its standing. */
    Peer before;
    Peer after;
    Chain chain;
    /** Links of the chain of its customer; only while it is served and idle. */
    Peer customersBefore;
    Peer customersAfter;
    Share customer;
    Share address;
    /** Links of the chain of those that are owed something. */
    Peer owingBefore;
    Peer owingAfter;
    boolean owing;
    /** The next that waits for its turn to be read. */
    Peer nextTurn;
    boolean waitsForTurn;
    /** Steady microseconds: when it came to its standing, took of what it is owed, began to wait for its turn. */
    long since;
    long tookAt;
    long waitsSince;
    /** When it last had an answer; what was served lately is not of the crowd. */
    long servedAt = Long.MIN_VALUE / 2;
    int owed;

    /** Its standing; null before it is let in and after it has left. */
    public final Standing standing() {
        return chain == null ? null : chain.standing;
    }

    /** Bytes of answers that its socket has not taken. */
    public final int owed() {
        return owed;
    }
}
