package ironwind.idle;

/**
 * What one address or one customer has of the room: a count, and of a customer the idle ones,
 * longest idle first.
 */
final class Share {
    final Object key;
    final Line idle = new Line();
    int connections;

    Share(Object key) {
        this.key = key;
    }
}
