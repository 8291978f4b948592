package ironwind.idle;

/**
 * The clients that are owed bytes which their sockets did not take, in the order in which they last
 * took any: the first is both the next whose time is out and the first to end where all are owed
 * too much.
 */
public final class Debtors {
    private final Limits limits;
    private final Budget budget;
    private final Line line = new Line();

    public Debtors(Limits limits, Budget budget) {
        this.limits = limits;
        this.budget = budget;
    }

    /** So many bytes more are owed to it. */
    public void owe(Peer peer, int bytes, long now) {
        budget.force(Budget.Use.UNSENT_ANSWERS, bytes);
        peer.owed += bytes;
        if (peer.amongDebtors == null && peer.owed > 0) {
            stand(peer, now);
        }
    }

    /** It has taken so many of them. */
    public void took(Peer peer, int bytes, long now) {
        if (bytes > 0) {
            budget.back(Budget.Use.UNSENT_ANSWERS, bytes);
            peer.owed -= bytes;
            line.remove(peer.amongDebtors);
            peer.amongDebtors = null;
            if (peer.owed > 0) {
                stand(peer, now);
            }
        }
    }

    private void stand(Peer peer, long now) {
        peer.tookAt = now;
        peer.amongDebtors = new Line.Place(peer);
        line.append(peer.amongDebtors);
    }

    /** It is gone, and nothing is owed to it. */
    public void forget(Peer peer) {
        took(peer, peer.owed, 0);
    }

    /** Whether nothing more is to be read from it. */
    public boolean ahead(Peer peer) {
        return peer.owed > limits.owedEach();
    }

    /**
     * One that is to end, for {@link #whyDue}; null where none is. It is told again until it is
     * forgotten.
     */
    public Peer due(long now) {
        Peer first = line.first();
        return first != null && (tooMuch() || now - first.tookAt > limits.slowReaderTime().us())
                ? first
                : null;
    }

    public Reason whyDue() {
        return tooMuch() ? Reason.OWED_TOO_MUCH : Reason.SLOW_READER;
    }

    private boolean tooMuch() {
        return budget.lent(Budget.Use.UNSENT_ANSWERS) > limits.owedAll();
    }

    public int size() {
        return line.size();
    }
}
