package ironwind.idle;

/** The connections in one state, in the order in which they entered it, longest first. */
final class StateQueue extends ConnectionQueue {
    final ConnectionState state;

    StateQueue(ConnectionState state) {
        this.state = state;
    }

    void enter(TrackedConnection connection, long now) {
        connection.stateQueue = this;
        connection.stateSince = now;
        append(connection.stateNode);
    }

    void leave(TrackedConnection connection) {
        remove(connection.stateNode);
        connection.stateQueue = null;
    }
}
