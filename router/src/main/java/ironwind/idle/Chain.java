package ironwind.idle;

/**
 * Connections of one standing in the order in which they came to it: the first has waited longest.
 */
final class Chain extends Line {
    final ConnectionState standing;

    Chain(ConnectionState standing) {
        this.standing = standing;
    }

    void enter(Peer peer, long now) {
        peer.chain = this;
        peer.since = now;
        append(peer.inChain);
    }

    void leave(Peer peer) {
        remove(peer.inChain);
        peer.chain = null;
    }
}
