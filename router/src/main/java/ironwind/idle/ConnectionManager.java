package ironwind.idle;

import ironwind.model.Span;
import ironwind.model.TokenBucket;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides which client connections are admitted, which are evicted when the router is full, and
 * which have reached a timeout. Connections are kept in one FIFO queue per state, so that the first
 * of a queue is both the next to reach the state's timeout and the next to evict: no operation
 * iterates over connections, and no connection has a timer.
 *
 * <p>Times are microseconds of {@link MonotonicTime}.
 */
public final class ConnectionManager {
    /** The states whose connections may be evicted, in the order of eviction. */
    private static final ConnectionState[] EVICTION_ORDER = {
        ConnectionState.CLOSING,
        ConnectionState.STARTUP,
        ConnectionState.AWAITING_FIRST_RPC,
        ConnectionState.IDLE
    };

    /**
     * Time for the client to read a fatal error before its socket is closed. Closing a socket with
     * unread input resets the connection and discards what was written.
     */
    private static final Span CLOSE_GRACE = Span.ofMillis(300);

    private static final double MICROS_PER_SECOND = 1e6;

    private final Limits limits;
    private final Map<ConnectionState, StateQueue> queues = new EnumMap<>(ConnectionState.class);
    private final Map<CloseReason, long[]> closed = new EnumMap<>(CloseReason.class);
    private final Map<Object, ConnectionUsage> addresses = new HashMap<>();
    private final Map<Object, ConnectionUsage> customers = new HashMap<>();
    private int connectionCount;
    private final TokenBucket acceptTokens;
    private long refilledAt;

    /** Creates a manager without connections. */
    public ConnectionManager(Limits limits) {
        this.limits = limits;
        this.acceptTokens = new TokenBucket(limits.acceptBurst());
        for (ConnectionState state : ConnectionState.values()) {
            queues.put(state, new StateQueue(state));
        }
        for (CloseReason reason : CloseReason.values()) {
            closed.put(reason, new long[1]);
        }
    }

    // ---- admission and eviction

    /** Returns whether the accept rate allows another connection to be accepted now. */
    public boolean mayAccept(long now) {
        refill(now);
        return limits.acceptRate() == 0 || !acceptTokens.isEmpty();
    }

    /** Returns how long until the accept rate allows another connection, at least 1 ms. */
    public Span nextAcceptIn(long now) {
        refill(now);
        double seconds = acceptTokens.deficit() / Math.max(1, limits.acceptRate());
        return new Span((long) (seconds * MICROS_PER_SECOND)).longer(Span.ofMillis(1));
    }

    private void refill(long now) {
        double gained = (now - refilledAt) / MICROS_PER_SECOND * limits.acceptRate();
        acceptTokens.refill(gained, Math.max(1, limits.acceptBurst()));
        refilledAt = now;
    }

    /**
     * Returns why a new connection from this address is to be refused, or null if it is admitted. A
     * refusal is counted.
     */
    public CloseReason refusalReason(Object address) {
        ConnectionUsage usage = addresses.get(address);
        if (limits.maxPerAddress() > 0
                && usage != null
                && usage.connections >= limits.maxPerAddress()) {
            return recordClose(CloseReason.ADDRESS_FULL);
        }
        if (connectionCount >= limits.maxConnections() && evictionCandidate() == null) {
            return recordClose(CloseReason.ALL_BUSY);
        }
        return null;
    }

    /** Adds an accepted connection in state {@link ConnectionState#STARTUP}. */
    public void add(TrackedConnection connection, Object address, long now) {
        refill(now);
        acceptTokens.tryTake();
        connection.addressUsage = addresses.computeIfAbsent(address, ConnectionUsage::new);
        connection.addressUsage.connections++;
        connectionCount++;
        queue(ConnectionState.STARTUP).enter(connection, now);
    }

    /**
     * Returns the connection to evict before another one is added, or null if the router is not
     * full or no connection can be evicted.
     */
    public TrackedConnection evictionCandidateIfFull() {
        return connectionCount >= limits.maxConnections() ? evictionCandidate() : null;
    }

    /**
     * Returns the first connection in eviction order, or null if every connection has a message or
     * an answer in progress.
     */
    public TrackedConnection evictionCandidate() {
        for (ConnectionState state : EVICTION_ORDER) {
            TrackedConnection first = queue(state).first();
            if (first != null) {
                return first;
            }
        }
        return null;
    }

    // ---- state changes

    /**
     * Moves a connection to the end of the queue of a state, even if it is in that state already.
     * Does nothing after the connection was removed.
     */
    public void setState(TrackedConnection connection, ConnectionState state, long now) {
        if (connection.stateQueue == null) {
            return;
        }
        connection.stateQueue.leave(connection);
        queue(state).enter(connection, now);
        removeFromCustomerIdleQueue(connection);
        if (connection.customerUsage != null && state == ConnectionState.IDLE) {
            connection.idleNode = new ConnectionQueue.Node(connection);
            connection.customerUsage.idleConnections.append(connection.idleNode);
        }
    }

    /**
     * Records that a connection had an answer on behalf of a customer. Does nothing after the
     * connection was removed.
     *
     * @param customer null if the deployment has no customers
     * @return the customer's connection that has been idle for longest if the customer has more
     *     connections than its limit; null if it does not or none of them is idle
     */
    public TrackedConnection recordAnswer(TrackedConnection connection, Object customer, long now) {
        if (connection.stateQueue == null) {
            return null;
        }
        connection.lastAnsweredAt = now;
        ConnectionUsage usage =
                customer == null || limits.maxPerCustomer() == 0
                        ? null
                        : customers.computeIfAbsent(customer, ConnectionUsage::new);
        if (connection.customerUsage != usage) {
            leaveCustomer(connection);
            connection.customerUsage = usage;
            if (usage != null) {
                usage.connections++;
            }
        }
        boolean overLimit = usage != null && usage.connections > limits.maxPerCustomer();
        return overLimit ? usage.idleConnections.first() : null;
    }

    private void removeFromCustomerIdleQueue(TrackedConnection connection) {
        if (connection.idleNode != null) {
            connection.customerUsage.idleConnections.remove(connection.idleNode);
            connection.idleNode = null;
        }
    }

    private void leaveCustomer(TrackedConnection connection) {
        removeFromCustomerIdleQueue(connection);
        ConnectionUsage usage = connection.customerUsage;
        if (usage != null) {
            usage.connections--;
            if (usage.connections == 0) {
                customers.remove(usage.key);
            }
            connection.customerUsage = null;
        }
    }

    /** Removes a closed connection. Does nothing if it was removed already. */
    public void remove(TrackedConnection connection) {
        if (connection.stateQueue == null) {
            return;
        }
        connection.stateQueue.leave(connection);
        leaveCustomer(connection);
        connection.addressUsage.connections--;
        if (connection.addressUsage.connections == 0) {
            addresses.remove(connection.addressUsage.key);
        }
        connection.addressUsage = null;
        connectionCount--;
    }

    // ---- timeouts

    /**
     * Returns a connection that has reached the timeout of its state, or null if there is none. The
     * same connection may be returned until it changes its state or is removed.
     */
    public TrackedConnection nextExpired(long now) {
        for (StateQueue queue : queues.values()) {
            TrackedConnection first = queue.first();
            Span timeout = timeout(queue.state);
            if (first != null && timeout.us() > 0 && now - first.stateSince > timeout.us()) {
                return first;
            }
        }
        return null;
    }

    /** Returns why a connection that {@link #nextExpired} returned is to be closed. */
    public CloseReason expiryReason(TrackedConnection connection) {
        ConnectionState state = connection.state();
        return state == ConnectionState.STARTUP || state == ConnectionState.RECEIVING
                ? CloseReason.TOO_SLOW
                : CloseReason.IDLE_TOO_LONG;
    }

    private Span timeout(ConnectionState state) {
        return switch (state) {
            case CLOSING -> CLOSE_GRACE;
            case STARTUP -> limits.startupTimeout();
            case RECEIVING -> limits.messageTimeout();
            case AWAITING_FIRST_RPC -> limits.firstRequestTimeout();
            case IDLE ->
                    connectionCount > limits.crowdedFraction() * limits.maxConnections()
                            ? limits.crowdedIdleTimeout()
                            : limits.idleTimeout();
            case BUSY -> Span.ZERO;
        };
    }

    // ---- statistics

    /** Counts a connection that is closed or refused, and returns the reason. */
    public CloseReason recordClose(CloseReason reason) {
        closed.get(reason)[0]++;
        return reason;
    }

    /** Returns how many connections were closed or refused for a reason. */
    public long closedCount(CloseReason reason) {
        return closed.get(reason)[0];
    }

    /** Returns the number of connections in a state. */
    public int countInState(ConnectionState state) {
        return queue(state).size();
    }

    /** Returns how long the longest-standing connection has been in a state; zero if none is. */
    public Span longestInState(ConnectionState state, long now) {
        TrackedConnection first = queue(state).first();
        return first == null ? Span.ZERO : new Span(Math.max(0, now - first.stateSince));
    }

    /** Returns the number of connections. */
    public int connectionCount() {
        return connectionCount;
    }

    /** Returns the number of addresses that have a connection. */
    public int addressCount() {
        return addresses.size();
    }

    /** Returns the limits that apply. */
    public Limits limits() {
        return limits;
    }

    private StateQueue queue(ConnectionState state) {
        return queues.get(state);
    }
}
