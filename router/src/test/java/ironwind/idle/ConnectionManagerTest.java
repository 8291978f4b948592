package ironwind.idle;

import static org.assertj.core.api.Assertions.assertThat;

import ironwind.model.Span;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** Compares the connection manager with a model that searches a plain list of connections. */
class ConnectionManagerTest {
    private static final int MAX_CONNECTIONS = 6;
    private static final int MAX_PER_ADDRESS = 3;
    private static final int MAX_PER_CUSTOMER = 2;
    private static final Limits LIMITS =
            limits(MAX_CONNECTIONS, MAX_PER_ADDRESS, MAX_PER_CUSTOMER, 0, 0);

    static Limits limits(
            int maxConnections,
            int maxPerAddress,
            int maxPerCustomer,
            int acceptRate,
            int acceptBurst) {
        return new Limits(
                maxConnections,
                maxPerAddress,
                maxPerCustomer,
                acceptRate,
                acceptBurst,
                Span.ofMillis(20),
                Span.ofMillis(30),
                Span.ofMillis(40),
                Span.ofMillis(90),
                Span.ofMillis(50),
                0.5,
                1_000,
                100,
                400,
                Span.ofMillis(100),
                4,
                Span.ofMillis(1),
                Span.ofMillis(50),
                Span.ofMillis(60),
                Span.ZERO,
                0);
    }

    static final class TestConnection extends TrackedConnection {}

    /** One connection in the model. */
    private static final class ModelConnection {
        private final TrackedConnection tracked = new TestConnection();
        private final String address;
        private ConnectionState state = ConnectionState.STARTUP;
        private long stateSince;

        /** Order in which connections entered their states, also within one microsecond. */
        private long order;

        private String customer;

        private ModelConnection(String address) {
            this.address = address;
        }
    }

    private record Step(int kind, int which, int state, long elapsedUs) {}

    @Provide
    Arbitrary<List<Step>> steps() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 5),
                        Arbitraries.integers().between(0, 9),
                        Arbitraries.integers().between(0, ConnectionState.values().length - 1),
                        Arbitraries.longs().between(0, 30_000))
                .as(Step::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(120);
    }

    private final List<ModelConnection> open = new ArrayList<>();
    private long order;

    @Property(tries = 400, seed = "20261201")
    void agreesWithALinearSearch(@ForAll("steps") List<Step> steps) {
        ConnectionManager manager = new ConnectionManager(LIMITS);
        open.clear();
        long now = 1_000;
        for (Step step : steps) {
            now += step.elapsedUs;
            perform(manager, step, now);
            for (ConnectionState state : ConnectionState.values()) {
                assertThat(manager.countInState(state))
                        .isEqualTo(
                                open.stream()
                                        .filter(connection -> connection.state == state)
                                        .count());
            }
            assertThat(manager.connectionCount()).isEqualTo(open.size());
            assertThat(manager.addressCount())
                    .isEqualTo(
                            open.stream().map(connection -> connection.address).distinct().count());
            ModelConnection candidate = evictionCandidate();
            assertThat(manager.evictionCandidateIfFull())
                    .isSameAs(
                            open.size() < MAX_CONNECTIONS || candidate == null
                                    ? null
                                    : candidate.tracked);
            checkNextExpired(manager, now);
        }
    }

    private void perform(ConnectionManager manager, Step step, long now) {
        if (step.kind <= 1) {
            String address = "a" + step.which % 4;
            long sameAddress =
                    open.stream().filter(connection -> connection.address.equals(address)).count();
            CloseReason expected =
                    sameAddress >= MAX_PER_ADDRESS
                            ? CloseReason.ADDRESS_FULL
                            : open.size() >= MAX_CONNECTIONS && evictionCandidate() == null
                                    ? CloseReason.ALL_BUSY
                                    : null;
            assertThat(manager.refusalReason(address)).isEqualTo(expected);
            if (expected == null) {
                ModelConnection connection = new ModelConnection(address);
                enterState(connection, ConnectionState.STARTUP, now);
                open.add(connection);
                manager.add(connection.tracked, address, now);
            }
            return;
        } else if (open.isEmpty()) {
            return;
        }
        ModelConnection connection = open.get(step.which % open.size());
        switch (step.kind) {
            case 2 -> {
                manager.remove(connection.tracked);
                manager.remove(connection.tracked);
                open.remove(connection);
                assertThat(connection.tracked.state()).isNull();
            }
            case 3 -> {
                connection.customer = step.state == 0 ? null : "c" + step.state % 2;
                TrackedConnection excess =
                        manager.recordAnswer(connection.tracked, connection.customer, now);
                assertThat(excess).isSameAs(idleOverCustomerLimit(connection.customer));
            }
            default -> {
                enterState(connection, ConnectionState.values()[step.state], now);
                manager.setState(connection.tracked, connection.state, now);
            }
        }
    }

    private void enterState(ModelConnection connection, ConnectionState state, long now) {
        connection.state = state;
        connection.stateSince = now;
        connection.order = order++;
    }

    private TrackedConnection idleOverCustomerLimit(String customer) {
        List<ModelConnection> all =
                open.stream()
                        .filter(
                                connection ->
                                        customer != null && customer.equals(connection.customer))
                        .toList();
        return all.size() <= MAX_PER_CUSTOMER
                ? null
                : all.stream()
                        .filter(connection -> connection.state == ConnectionState.IDLE)
                        .filter(connection -> isIdleForCustomer(connection))
                        .min(Comparator.comparingLong(connection -> connection.order))
                        .map(connection -> connection.tracked)
                        .orElse(null);
    }

    /**
     * Whether the connection is idle for its customer: it has entered IDLE after an answer on the
     * customer's behalf. The model takes this from the manager.
     */
    private boolean isIdleForCustomer(ModelConnection connection) {
        return connection.tracked.idleNode != null;
    }

    private ModelConnection evictionCandidate() {
        return open.stream()
                .filter(connection -> connection.state.compareTo(ConnectionState.RECEIVING) < 0)
                .min(
                        Comparator.comparing((ModelConnection connection) -> connection.state)
                                .thenComparing(connection -> connection.order))
                .orElse(null);
    }

    private void checkNextExpired(ConnectionManager manager, long now) {
        List<TrackedConnection> expired =
                open.stream()
                        .filter(
                                connection -> {
                                    long timeoutUs =
                                            switch (connection.state) {
                                                case CLOSING -> 300_000;
                                                case STARTUP -> 20_000;
                                                case RECEIVING -> 30_000;
                                                case AWAITING_FIRST_RPC -> 40_000;
                                                case IDLE ->
                                                        open.size() > MAX_CONNECTIONS / 2
                                                                ? 50_000
                                                                : 90_000;
                                                case BUSY -> Long.MAX_VALUE;
                                            };
                                    return now - connection.stateSince > timeoutUs;
                                })
                        .map(connection -> connection.tracked)
                        .toList();
        TrackedConnection next = manager.nextExpired(now);
        if (expired.isEmpty()) {
            assertThat(next).isNull();
        } else {
            assertThat(expired).contains(Objects.requireNonNull(next));
        }
    }

    /** Guards against accepting more than the accept rate, or nothing after a pause. */
    @Test
    void acceptsAtTheConfiguredRate() {
        ConnectionManager manager = new ConnectionManager(limits(10_000, 0, 0, 100, 10));
        int accepted = 0;
        for (long now = 0; now < 2_000_000; now += 500) {
            while (manager.mayAccept(now)) {
                manager.add(new TestConnection(), "a", now);
                accepted++;
            }
            assertThat(manager.nextAcceptIn(now).us()).isBetween(1_000L, 10_000L);
        }
        assertThat(accepted).isBetween(205, 210);
        manager.mayAccept(3_600_000_000L);
        int acceptedAfterPause = 0;
        while (manager.mayAccept(3_600_000_000L)) {
            manager.add(new TestConnection(), "a", 3_600_000_000L);
            acceptedAfterPause++;
        }
        assertThat(acceptedAfterPause).isEqualTo(10);
    }

    /** Guards against evicting the new connection that the eviction makes room for. */
    @Test
    void newConnectionIsNotEvictedForItself() {
        ConnectionManager manager = new ConnectionManager(limits(2, 0, 0, 0, 0));
        TrackedConnection first = new TestConnection();
        TrackedConnection second = new TestConnection();
        for (TrackedConnection tracked : List.of(first, second)) {
            manager.add(tracked, "a", 1);
            manager.recordAnswer(tracked, null, 1);
            manager.setState(tracked, ConnectionState.IDLE, 1);
        }
        assertThat(manager.evictionCandidateIfFull()).isSameAs(first);
        manager.remove(first);
        assertThat(manager.evictionCandidateIfFull()).isNull();
        manager.setState(second, ConnectionState.BUSY, 2);
        manager.add(first, "a", 2);
        manager.setState(first, ConnectionState.RECEIVING, 2);
        assertThat(manager.evictionCandidateIfFull()).isNull();
        assertThat(manager.refusalReason("b")).isEqualTo(CloseReason.ALL_BUSY);
    }
}
