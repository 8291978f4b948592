package ironwind.idle;

import ironwind.model.Span;

/**
 * Who is read when many speak at once. Those that were answered lately are read as they come. The
 * others are a crowd: they are read for one turn's time, then wait in the order in which they came,
 * and those who are active are looked at between two turns. While many RPCs are open the crowd
 * waits. What has waited for so long that it can hardly be served in its time is read to be pushed
 * back, as is what finds no memory: an answer takes none that is kept.
 */
public final class Turns {
    private final Limits limits;
    private final Budget budget;
    private final Line line = new Line();
    private int mostWaiting;
    private long turnEnds;
    private long deferred;
    private long shed;

    public Turns(Limits limits, Budget budget) {
        this.limits = limits;
        this.budget = budget;
    }

    /** A turn begins: for its time the crowd may be read. */
    public void begin(long now) {
        turnEnds = now + limits.turnTime().us();
    }

    /**
     * Whether one that has something to say is read at once; else it waits, and is told by {@link
     * #next}.
     */
    public boolean atOnce(Peer peer, long now, int openRpcs) {
        if (waits(peer)) {
            return false;
        }
        // What has begun ends: a message of which a part is held, an answer that a second command
        // came behind.
        boolean begun =
                peer.standing() == ConnectionState.BUSY
                        || peer.standing() == ConnectionState.RECEIVING;
        if (now >= turnEnds + limits.turnTime().us()) {
            begin(now);
        }
        if (begun || isActive(peer, now) || !anyWaits() && now < turnEnds && hasRoom(openRpcs)) {
            return true;
        }
        peer.waitsSince = now;
        peer.amongWaiting = new Line.Place(peer);
        line.append(peer.amongWaiting);
        deferred++;
        mostWaiting = Math.max(mostWaiting, line.size());
        return false;
    }

    private boolean isActive(Peer peer, long now) {
        return now - peer.servedAt < limits.activeTime().us();
    }

    /**
     * The next to be read in this turn; null where the turn is over or none may be. Skips those
     * that have left.
     */
    public Peer next(long now, int openRpcs) {
        while (anyWaits() && line.first().standing() == null) {
            pop();
        }
        if (now >= turnEnds || !hasTurn(now, openRpcs)) {
            return null;
        }
        if (late(now)) {
            shed++;
        }
        return pop();
    }

    private Peer pop() {
        Peer peer = line.first();
        line.remove(peer.amongWaiting);
        peer.amongWaiting = null;
        return peer;
    }

    /**
     * Whether one would be read in a new turn: else there is nothing to do until an RPC has ended.
     */
    public boolean hasTurn(long now, int openRpcs) {
        return anyWaits() && (hasRoom(openRpcs) || late(now));
    }

    public boolean waits(Peer peer) {
        return peer.amongWaiting != null;
    }

    private boolean hasRoom(int openRpcs) {
        return openRpcs < limits.openRpcs();
    }

    private boolean late(long now) {
        return now - line.first().waitsSince > limits.crowdTime().us();
    }

    /** How long it had something to say before it is read now. */
    public Span waited(Peer peer, long now) {
        return peer.waitsSince == 0 ? Span.ZERO : new Span(Math.max(0, now - peer.waitsSince));
    }

    /**
     * Whether an RPC that was read after such a wait, and of so many bytes, is to be pushed back.
     */
    public boolean pushesBack(Span waited, long bytes) {
        return waited.longerThan(limits.crowdTime()) || !budget.hasRoomForNew(bytes);
    }

    /** What has come of it is read: it waits for no turn. */
    public void heard(Peer peer) {
        peer.waitsSince = 0;
    }

    public boolean anyWaits() {
        return line.first() != null;
    }

    public int waiting() {
        return line.size();
    }

    public int mostWaiting() {
        return mostWaiting;
    }

    public long deferred() {
        return deferred;
    }

    public long shed() {
        return shed;
    }
}
