package ironwind.idle;

/** The connections of one address or one customer, counted against its limit. */
final class ConnectionUsage {
    /** The address or the customer. */
    final Object key;

    /** Idle connections of a customer, longest idle first; empty for an address. */
    final ConnectionQueue idleConnections = new ConnectionQueue();

    int connections;

    ConnectionUsage(Object key) {
        this.key = key;
    }
}
