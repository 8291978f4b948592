package ironwind.idle;

/** What one address or one customer has of the room: a count, and of a customer the idle ones, longest idle first. */
final class Share {
    final Object key;
    int connections;
    private Peer first;
    private Peer last;

    Share(Object key) {
        this.key = key;
    }

    Peer longestIdle() {
        return first;
    }

    void append(Peer peer) {
        peer.customersBefore = last;
        peer.customersAfter = null;
        if (last == null) {
            first = peer;
        } else {
            last.customersAfter = peer;
        }
        last = peer;
    }

    /** Takes it out of the idle ones; does nothing where it is not among them. */
    void remove(Peer peer) {
        if (peer != first && peer.customersBefore == null) {
            return;
        }
        if (peer.customersBefore == null) {
            first = peer.customersAfter;
        } else {
            peer.customersBefore.customersAfter = peer.customersAfter;
        }
        if (peer.customersAfter == null) {
            last = peer.customersBefore;
        } else {
            peer.customersAfter.customersBefore = peer.customersBefore;
        }
        peer.customersBefore = null;
        peer.customersAfter = null;
    }
}
