package ironwind.net;

import io.netty.channel.IoEventLoop;
import ironwind.config.Address;
import ironwind.config.RouterConfig;
import ironwind.idle.MemoryBudget;
import ironwind.idle.MemoryBudget.Use;
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

/** All connections to hosts: one request at a time on each, a new one only where none is idle. */
final class HostConnectionPool {
    /**
     * Of the time after which a host closes an idle connection: a request that crosses the close
     * would be lost.
     */
    private static final double IDLE_PART = 0.75;

    /** Of the router's memory, what one message of a host may take. */
    private static final double MESSAGE_PART = 1.0 / 64;

    private static final int MEGABYTE = 1 << 20;

    /** What a host sends behind an answer of its own accord has come by then. */
    private static final Span QUIET = Span.ofMillis(3);

    private final Timers timers;
    private final IoEventLoop loop;
    private final LoopSocket.Buffers buffers;
    private boolean stopped;
    private final Span connectTime;
    private final Span idleTime;
    private final int most;

    /**
     * Bytes that a message of a host may have. Some have more than PROTOCOL allows a value, and are
     * whole.
     */
    final int longestMessage;

    private final Counters counters;
    private final Log log;
    private final Map<String, Address> addresses = new HashMap<>();
    private final Map<String, Deque<HostConnection>> idle = new LinkedHashMap<>();
    private final Set<HostConnection> open = new HashSet<>();

    /** Sockets that are coming up or open: what descriptors are counted by. */
    private int sockets;

    /**
     * Those that read no further until there is memory for the rest of their answer, in the order
     * of waiting.
     */
    private final Deque<HostConnection> needMemory = new ArrayDeque<>();

    private final MemoryBudget budget;

    HostConnectionPool(
            IoEventLoop loop,
            Timers timers,
            LoopSocket.Buffers buffers,
            RouterConfig facts,
            MemoryBudget budget,
            int most,
            Counters counters,
            Log log) {
        this.loop = loop;
        this.timers = timers;
        this.buffers = buffers;
        this.connectTime = facts.connectTimeout();
        this.idleTime = facts.hostIdleTimeout().times(IDLE_PART);
        this.budget = budget;
        this.most = most;
        this.longestMessage = (int) (MESSAGE_PART * facts.memoryMb() * MEGABYTE);
        this.counters = counters;
        this.log = log;
        sweepLater();
    }

    private void sweepLater() {
        timers.schedule(
                idleTime.times(1 - IDLE_PART),
                () -> {
                    if (!stopped) {
                        closeStale();
                        sweepLater();
                    }
                });
    }

    /** Where a host listens; what is open to an address it had before is closed. */
    void setAddress(String hostId, Address address) {
        Address before = addresses.put(hostId, address);
        if (before != null && !before.equals(address)) {
            closeIdle(hostId);
        }
    }

    void letGo(Predicate<String> hostIds) {
        addresses.keySet().removeIf(hostIds);
        idle.keySet().stream().filter(hostIds).toList().forEach(this::closeIdle);
        idle.keySet().removeIf(hostIds);
    }

    /**
     * Finds a connection for a use; it may have to come up first. Null where there is no socket for
     * it.
     */
    HostConnection open(String hostId, HostConnection.Request use) {
        HostConnection quiet = quiet(hostId);
        if (quiet != null) {
            quiet.take(use);
            return quiet;
        }
        Address address = addresses.get(hostId);
        if (address == null || !roomForOne()) {
            log.warn(
                    "no_socket",
                    "host",
                    hostId,
                    "address",
                    address,
                    "sockets",
                    sockets,
                    "most",
                    most);
            return null;
        }
        HostConnection connection = new HostConnection(hostId, this, use);
        try {
            connection.begin(LoopSocket.connect(loop, address, buffers, connection));
        } catch (IOException none) {
            log.warn(
                    "no_descriptor",
                    "host",
                    hostId,
                    "sockets",
                    sockets,
                    "cause",
                    none.getMessage());
            return null;
        }
        open.add(connection);
        counters.add(Count.HOST_CONNECTIONS);
        later(() -> connection.failed(Ending.NOT_ESTABLISHED));
        sockets++;
        return connection;
    }

    /**
     * One that has been idle long enough to show whether more came behind its last answer than
     * belongs to it.
     */
    private HostConnection quiet(String hostId) {
        Deque<HostConnection> free = idle.get(hostId);
        Moment before = Clock.read().minus(QUIET);
        if (free != null) {
            for (HostConnection connection : free) {
                if (!connection.idleSince.after(before)) {
                    free.remove(connection);
                    return connection;
                }
            }
        }
        return null;
    }

    /** Where all sockets are taken, one that is idle elsewhere gives way. */
    private boolean roomForOne() {
        if (sockets >= most) {
            for (Deque<HostConnection> free : idle.values()) {
                if (!free.isEmpty()) {
                    free.peekLast().close();
                    break;
                }
            }
        }
        return sockets < most;
    }

    void idle(HostConnection connection) {
        connection.idleSince = Clock.read();
        idle.computeIfAbsent(connection.hostId, id -> new ArrayDeque<>()).push(connection);
    }

    void forget(HostConnection connection) {
        open.remove(connection);
        Deque<HostConnection> free = idle.get(connection.hostId);
        if (free != null) {
            free.remove(connection);
        }
    }

    void released() {
        sockets--;
    }

    /**
     * Memory for an answer that has begun; where there is none, the connection is told once there
     * is.
     */
    boolean lend(HostConnection connection, int bytes) {
        boolean lent = needMemory.isEmpty() && budget.tryReserve(Use.PARTIAL_ANSWERS, bytes);
        if (!lent) {
            needMemory.add(connection);
            log.warn(
                    "answer_waits_for_memory",
                    "host",
                    connection.hostId,
                    "bytes",
                    bytes,
                    "lent",
                    budget.totalReserved());
        }
        return lent;
    }

    void giveBack(HostConnection connection, int bytes) {
        budget.release(Use.PARTIAL_ANSWERS, bytes);
        needMemory.remove(connection);
        memoryFreed();
    }

    /** Those that wait for memory go on, as far as there is some. */
    void memoryFreed() {
        while (!needMemory.isEmpty()
                && budget.tryReserve(Use.PARTIAL_ANSWERS, needMemory.peek().needs())) {
            needMemory.poll().readOn();
        }
    }

    void ended(Ending ending) {
        counters.add(ending);
    }

    void surplus(HostConnection connection, int bytes) {
        log.warn("host_surplus", "host", connection.hostId, "bytes", bytes);
    }

    void soon(Runnable action) {
        timers.execute(action);
    }

    /** After the time in which a host that runs lets a connection come up. */
    void later(Runnable action) {
        timers.schedule(connectTime, action);
    }

    void garbled(HostConnection connection, PgException fault) {
        log.warn("host_garbled", "host", connection.hostId, "what", fault.getMessage());
    }

    void closeIdle(String hostId) {
        close(new ArrayList<>(idle.getOrDefault(hostId, new ArrayDeque<>())));
    }

    private void closeStale() {
        Moment before = Clock.read().minus(idleTime);
        List<HostConnection> stale = new ArrayList<>();
        for (Deque<HostConnection> free : idle.values()) {
            free.stream()
                    .filter(connection -> connection.idleSince.before(before))
                    .forEach(stale::add);
        }
        close(stale);
    }

    private void close(List<HostConnection> connections) {
        for (HostConnection connection : connections) {
            connection.close();
            counters.add(Ending.IDLE_CLOSED);
        }
    }

    void stop() {
        stopped = true;
        new ArrayList<>(open).forEach(HostConnection::close);
    }
}
