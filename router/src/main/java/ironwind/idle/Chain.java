package ironwind.idle;

/** Connections of one standing in the order in which they came to it: the first has waited longest. */
final class Chain {
    final Standing standing;
    private Peer first;
    private Peer last;
    private int size;

    Chain(Standing standing) {
        this.standing = standing;
    }

    Peer first() {
        return first;
    }

    int size() {
        return size;
    }

    void append(Peer peer, long now) {
        peer.chain = this;
        peer.since = now;
        peer.before = last;
        peer.after = null;
        if (last == null) {
            first = peer;
        } else {
            last.after = peer;
        }
        last = peer;
        size++;
    }

    void remove(Peer peer) {
        if (peer.before == null) {
            first = peer.after;
        } else {
            peer.before.after = peer.after;
        }
        if (peer.after == null) {
            last = peer.before;
        } else {
            peer.after.before = peer.before;
        }
        peer.before = null;
        peer.after = null;
        peer.chain = null;
        size--;
    }
}
