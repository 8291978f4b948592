package ironwind.net;

import io.netty.channel.IoEventLoop;
import ironwind.config.Address;
import ironwind.config.RouterConfig;
import ironwind.idle.MemoryBudget;
import ironwind.idle.MemoryBudget.Use;
import ironwind.idle.MemoryReservation;
import ironwind.model.Moment;
import ironwind.model.Span;
import ironwind.net.Counters.Count;
import ironwind.pg.PgException;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * The pool of connections to hosts. A connection carries one request at a time; a new one is opened
 * only if none to the host is idle.
 */
final class HostConnectionPool {
    /**
     * Fraction of the hosts' idle timeout after which the router itself closes an idle connection:
     * a request that is sent while the host closes the connection would be lost.
     */
    private static final double IDLE_TIMEOUT_FRACTION = 0.75;

    /**
     * Fraction of the connect timeout within which a connection that is being established is given
     * to another request. One that takes longer may never come up.
     */
    private static final double FRESH_CONNECT_FRACTION = 0.2;

    /** Fraction of the router's memory that one message of a host may take. */
    private static final double MAX_MESSAGE_FRACTION = 1.0 / 64;

    private static final int BYTES_PER_MEBIBYTE = 1 << 20;

    /**
     * How long a connection must have been idle before it is used again. Unsolicited data behind
     * the last answer mostly arrives by then, before a request is lost with the connection; that
     * none is taken for an answer is ensured by the fence of {@link HostConnection}.
     */
    private static final Span QUIET_PERIOD = Span.ofMillis(3);

    private final Timers timers;
    private final IoEventLoop loop;
    private final LoopSocket.Buffers buffers;
    private boolean stopped;
    private final Span connectTimeout;
    private final Span idleTimeout;
    private final int maxSockets;

    /**
     * Largest accepted message body of a host, in bytes. It is above the protocol specification's
     * cap on values, because valid messages can be larger than that cap.
     */
    final int maxMessageBytes;

    private final Counters counters;
    private final Log log;
    private final Map<String, Address> addresses = new HashMap<>();

    /** Idle connections by host id, the most recently used first. */
    private final Map<String, Deque<HostConnection>> idleConnections = new LinkedHashMap<>();

    /** Connections by host id that are being established and whose request was given up. */
    private final Map<String, Deque<HostConnection>> unestablished = new HashMap<>();

    private final Set<HostConnection> openConnections = new HashSet<>();

    /** Sockets that are connecting or open; each takes a file descriptor. */
    private int openSockets;

    /**
     * Connections that don't read until there is memory for an incomplete message, in the order in
     * which they began to wait.
     */
    private final Deque<HostConnection> waitingForMemory = new ArrayDeque<>();

    private final MemoryBudget budget;

    /** Whether requests on connections that have been used are preceded by a fence. */
    final boolean fencesRequests;

    /**
     * Creates an empty pool that opens at most the given number of sockets.
     *
     * @param fencesRequests whether a host may send more than the answer to a request
     */
    HostConnectionPool(
            IoEventLoop loop,
            Timers timers,
            LoopSocket.Buffers buffers,
            RouterConfig config,
            MemoryBudget budget,
            int maxSockets,
            boolean fencesRequests,
            Counters counters,
            Log log) {
        this.loop = loop;
        this.timers = timers;
        this.buffers = buffers;
        this.connectTimeout = config.connectTimeout();
        this.idleTimeout = config.hostIdleTimeout().times(IDLE_TIMEOUT_FRACTION);
        this.budget = budget;
        this.maxSockets = maxSockets;
        this.fencesRequests = fencesRequests;
        this.maxMessageBytes =
                (int) (MAX_MESSAGE_FRACTION * config.memoryMb() * BYTES_PER_MEBIBYTE);
        this.counters = counters;
        this.log = log;
        budget.onReleased(this::resumeWaiting);
        scheduleIdleSweep();
    }

    private void scheduleIdleSweep() {
        timers.schedule(
                idleTimeout.times(1 - IDLE_TIMEOUT_FRACTION),
                () -> {
                    if (!stopped) {
                        closeExpired();
                        scheduleIdleSweep();
                    }
                });
    }

    /** Sets a host's address; if it has changed, idle connections to the old one are closed. */
    void setAddress(String hostId, Address address) {
        Address previous = addresses.put(hostId, address);
        if (previous != null && !previous.equals(address)) {
            closeIdle(hostId);
            closeUnestablished(hostId);
        }
    }

    /** Removes the addresses and idle connections of the hosts whose ids satisfy the predicate. */
    void removeHosts(Predicate<String> isRemoved) {
        addresses.keySet().removeIf(isRemoved);
        idleConnections.keySet().stream().filter(isRemoved).toList().forEach(this::closeIdle);
        idleConnections.keySet().removeIf(isRemoved);
        unestablished.keySet().stream()
                .filter(isRemoved)
                .toList()
                .forEach(this::closeUnestablished);
    }

    /**
     * Acquires a connection for a request: an idle one, which is ready, or one that is still being
     * established, which is a new one if there is none without a request.
     *
     * @return the connection; null if no socket or descriptor is free, or the host has no address
     */
    HostConnection acquire(String hostId, HostConnection.Request request) {
        HostConnection existing = pollIdle(hostId);
        if (existing == null) {
            existing = pollUnestablished(hostId);
        }
        if (existing != null) {
            existing.assign(request);
            return existing;
        }
        Address address = addresses.get(hostId);
        if (address == null || !ensureFreeSocket()) {
            log.warn(
                    "no_socket",
                    "host",
                    hostId,
                    "address",
                    address,
                    "sockets",
                    openSockets,
                    "most",
                    maxSockets);
            return null;
        }
        HostConnection connection = new HostConnection(hostId, this, request);
        try {
            connection.attach(LoopSocket.connect(loop, address, buffers, connection));
        } catch (IOException e) {
            log.warn(
                    "no_descriptor",
                    "host",
                    hostId,
                    "sockets",
                    openSockets,
                    "cause",
                    e.getMessage());
            return null;
        }
        openConnections.add(connection);
        counters.add(Count.HOST_CONNECTIONS);
        scheduleTimeout(() -> connection.failConnect(Ending.NOT_ESTABLISHED));
        openSockets++;
        return connection;
    }

    /**
     * Removes and returns an idle connection to the host, or null. One that the host has closed, or
     * has sent unsolicited data on, is ended instead, and the next one is tried.
     */
    private HostConnection pollIdle(String hostId) {
        HostConnection connection = pollRested(hostId);
        while (connection != null && !connection.checkIdle()) {
            connection = pollRested(hostId);
        }
        return connection;
    }

    /** Removes and returns the newest unestablished connection to the host, or null. */
    private HostConnection pollUnestablished(String hostId) {
        Deque<HostConnection> candidates = unestablished.get(hostId);
        Moment earliestOpenedAt = Clock.read().minus(connectTimeout.times(FRESH_CONNECT_FRACTION));
        if (candidates == null || candidates.peekLast().openedAt.before(earliestOpenedAt)) {
            return null;
        }
        HostConnection newest = candidates.peekLast();
        removeUnestablished(newest);
        return newest;
    }

    /**
     * Keeps a connection that is still being established, although its request was given up: so
     * requests with little time left do not each open a connection.
     */
    void keepUnestablished(HostConnection connection) {
        unestablished.computeIfAbsent(connection.hostId, id -> new ArrayDeque<>()).add(connection);
    }

    /** Removes and returns a connection that has been idle for {@link #QUIET_PERIOD}, or null. */
    private HostConnection pollRested(String hostId) {
        Deque<HostConnection> candidates = idleConnections.get(hostId);
        Moment latestIdleSince = Clock.read().minus(QUIET_PERIOD);
        if (candidates != null) {
            for (HostConnection connection : candidates) {
                if (!connection.idleSince.after(latestIdleSince)) {
                    candidates.remove(connection);
                    return connection;
                }
            }
        }
        return null;
    }

    /**
     * Returns whether a socket is free. If none is, closes one connection without a request first,
     * which may be to any host.
     */
    private boolean ensureFreeSocket() {
        if (openSockets >= maxSockets) {
            Stream.of(idleConnections, unestablished)
                    .flatMap(byHost -> byHost.values().stream())
                    .filter(candidates -> !candidates.isEmpty())
                    .findFirst()
                    .ifPresent(candidates -> candidates.peekLast().close());
        }
        return openSockets < maxSockets;
    }

    /** Returns a connection to the pool. */
    void release(HostConnection connection) {
        removeUnestablished(connection);
        connection.idleSince = Clock.read();
        idleConnections
                .computeIfAbsent(connection.hostId, id -> new ArrayDeque<>())
                .push(connection);
    }

    private void removeUnestablished(HostConnection connection) {
        Deque<HostConnection> sameHost = unestablished.get(connection.hostId);
        if (sameHost != null && sameHost.remove(connection) && sameHost.isEmpty()) {
            unestablished.remove(connection.hostId);
        }
    }

    /** Removes a connection that is being closed. */
    void remove(HostConnection connection) {
        openConnections.remove(connection);
        removeUnestablished(connection);
        if (waitingForMemory.remove(connection)) {
            resumeWaiting();
        }
        Deque<HostConnection> idle = idleConnections.get(connection.hostId);
        if (idle != null) {
            idle.remove(connection);
        }
    }

    /** The socket of a connection has been closed. */
    void onSocketClosed() {
        openSockets--;
    }

    /** Returns an empty reservation of the router's memory. */
    MemoryReservation newReservation(Use use) {
        return new MemoryReservation(budget, use);
    }

    /**
     * Grows the memory of a connection's input to the given size. Connections that wait already
     * come first.
     *
     * @return whether the memory is reserved; if not, {@link HostConnection#tryResume} is called
     *     until it is
     */
    boolean tryReserveInput(HostConnection connection, MemoryReservation memory, long bytes) {
        boolean reserved =
                bytes <= memory.bytes() || waitingForMemory.isEmpty() && memory.tryGrowTo(bytes);
        if (!reserved) {
            waitingForMemory.add(connection);
            log.warn(
                    "answer_waits_for_memory",
                    "host",
                    connection.hostId,
                    "bytes",
                    bytes - memory.bytes(),
                    "lent",
                    budget.totalReserved());
        }
        return reserved;
    }

    /** Resumes connections that wait for memory, in order, as far as there is enough. */
    private void resumeWaiting() {
        while (!waitingForMemory.isEmpty() && waitingForMemory.peek().tryResume()) {
            waitingForMemory.poll();
        }
    }

    /** Counts the ending of a connection that carried no request. */
    void recordEnding(Ending ending) {
        counters.add(ending);
    }

    /** Logs that a host sent data that belongs to no request. */
    void logUnsolicitedData(HostConnection connection, int bytes) {
        log.warn("host_surplus", "host", connection.hostId, "bytes", bytes);
    }

    /** Runs an action on the event loop after the current one. */
    void execute(Runnable action) {
        timers.execute(action);
    }

    /** Runs an action after the connect timeout, within which a live host accepts a connection. */
    void scheduleTimeout(Runnable action) {
        timers.schedule(connectTimeout, action);
    }

    /** Counts and logs an unexpected exception. */
    void reportFault(RuntimeException fault) {
        timers.reportFault(fault);
    }

    /** Logs that a host sent a malformed message or answer. */
    void logMalformedData(HostConnection connection, PgException cause) {
        log.warn("host_garbled", "host", connection.hostId, "what", cause.getMessage());
    }

    /** Closes the idle connections to a host. */
    void closeIdle(String hostId) {
        closeIdle(new ArrayList<>(idleConnections.getOrDefault(hostId, new ArrayDeque<>())));
    }

    private void closeUnestablished(String hostId) {
        closeIdle(new ArrayList<>(unestablished.getOrDefault(hostId, new ArrayDeque<>())));
    }

    private void closeExpired() {
        Moment earliestIdleSince = Clock.read().minus(idleTimeout);
        List<HostConnection> expired = new ArrayList<>();
        for (Deque<HostConnection> idle : idleConnections.values()) {
            idle.stream()
                    .filter(connection -> connection.idleSince.before(earliestIdleSince))
                    .forEach(expired::add);
        }
        closeIdle(expired);
    }

    private void closeIdle(List<HostConnection> connections) {
        for (HostConnection connection : connections) {
            connection.close();
            counters.add(Ending.IDLE_CLOSED);
        }
    }

    /** Closes all connections without notifying their requests, and ends the idle sweep. */
    void stop() {
        stopped = true;
        new ArrayList<>(openConnections).forEach(HostConnection::close);
    }
}
