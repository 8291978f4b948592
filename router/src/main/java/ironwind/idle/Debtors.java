package ironwind.idle;

/**
 * The clients that are owed bytes which their sockets did not take, in the order in which they last took any: the
 * first is both the next whose time is out and the first to end where all are owed too much.
 */
public final class Debtors {
    private final Limits limits;
    private final Budget budget;
    private Peer first;
    private Peer last;
    private int size;

    public Debtors(Limits limits, Budget budget) {
        this.limits = limits;
        this.budget = budget;
    }

    /** So many bytes more are owed to it. */
    public void owe(Peer peer, int bytes, long now) {
        budget.force(Budget.Use.OWED, bytes);
        peer.owed += bytes;
        if (!peer.owing && peer.owed > 0) {
            peer.owing = true;
            peer.tookAt = now;
            append(peer);
        }
    }

    /** It has taken so many of them. */
    public void took(Peer peer, int bytes, long now) {
        if (bytes > 0) {
            budget.back(Budget.Use.OWED, bytes);
            peer.owed -= bytes;
            unlink(peer);
            if (peer.owed > 0) {
                peer.tookAt = now;
                append(peer);
            } else {
                peer.owing = false;
            }
        }
    }

    /** It is gone, and nothing is owed to it. */
    public void forget(Peer peer) {
        took(peer, peer.owed, 0);
    }

    /** Whether nothing more is to be read from it. */
    public boolean ahead(Peer peer) {
        return peer.owed > limits.owedEach();
    }

    /** One that is to end, for {@link #whyDue}; null where none is. It is told again until it is forgotten. */
    public Peer due(long now) {
        return first != null && (tooMuch() || now - first.tookAt > limits.slowReaderTime().us()) ? first : null;
    }

    public Reason whyDue() {
        return tooMuch() ? Reason.OWED_TOO_MUCH : Reason.SLOW_READER;
    }

    private boolean tooMuch() {
        return budget.lent(Budget.Use.OWED) > limits.owedAll();
    }

    public int size() {
        return size;
    }

    private void append(Peer peer) {
        peer.owingBefore = last;
        peer.owingAfter = null;
        if (last == null) {
            first = peer;
        } else {
            last.owingAfter = peer;
        }
        last = peer;
        size++;
    }

    private void unlink(Peer peer) {
        if (peer.owingBefore == null) {
            first = peer.owingAfter;
        } else {
            peer.owingBefore.owingAfter = peer.owingAfter;
        }
        if (peer.owingAfter == null) {
            last = peer.owingBefore;
        } else {
            peer.owingAfter.owingBefore = peer.owingBefore;
        }
        peer.owingBefore = null;
        peer.owingAfter = null;
        size--;
    }
}
