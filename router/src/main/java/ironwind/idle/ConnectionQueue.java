package ironwind.idle;

/**
 * FIFO queue of connections, linked through nodes that the connections hold, so that appending and
 * removing take constant time.
 */
class ConnectionQueue {
    private Node first;
    private Node last;
    private int size;

    /** Position of one connection in one queue. */
    static final class Node {
        final TrackedConnection connection;
        private Node previous;
        private Node next;

        Node(TrackedConnection connection) {
            this.connection = connection;
        }
    }

    /** Returns the connection that was appended first, or null if the queue is empty. */
    final TrackedConnection first() {
        return first == null ? null : first.connection;
    }

    final int size() {
        return size;
    }

    final void append(Node node) {
        node.previous = last;
        if (last == null) {
            first = node;
        } else {
            last.next = node;
        }
        last = node;
        size++;
    }

    final void remove(Node node) {
        if (node.previous == null) {
            first = node.next;
        } else {
            node.previous.next = node.next;
        }
        if (node.next == null) {
            last = node.previous;
        } else {
            node.next.previous = node.previous;
        }
        node.previous = null;
        node.next = null;
        size--;
    }
}
