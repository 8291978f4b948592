package ironwind;

import static org.assertj.core.api.Assertions.assertThat;

import ironwind.model.Group;
import ironwind.model.Host;
import ironwind.model.Moment;
import ironwind.model.Role;
import ironwind.model.Span;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class PrimaryRolesTest {
    private static final int LONGEST_ORDER = 6;
    private static final Moment START = Moment.ofMillis(1_000_000);

    /** Something that the router learns about one of two hosts. */
    private enum Event {
        LISTED_PRIMARY_A(0),
        LISTED_PRIMARY_B(1),
        SAYS_PRIMARY_A(0),
        SAYS_PRIMARY_B(1),
        SAYS_REPLICA_A(0),
        SAYS_REPLICA_B(1),
        /** The end of an answer that the host began before all other events. */
        ENDS_OLD_ANSWER_AS_PRIMARY_A(0),
        /** The host is missing from the list, and then in it again, with its role as before. */
        RETURNS_A(0),
        RETURNS_B(1);

        private final int host;

        Event(int host) {
            this.host = host;
        }
    }

    /**
     * What the pages allow, from the whole history: a host may be taken for the primary if it has
     * said so or was newly listed so, and has not said since that it is a replica.
     */
    private static final class Oracle {
        private final long[] claimedAt = {-1, -1};
        private final long[] deniedAt = {-1, -1};
        private int listedPrimary = -1;

        void apply(Event event, long time) {
            int host = event.host;
            switch (event) {
                case LISTED_PRIMARY_A, LISTED_PRIMARY_B -> {
                    // Only a change of the list is news.
                    if (listedPrimary != host) {
                        claimedAt[host] = time;
                    }
                    listedPrimary = host;
                }
                case SAYS_PRIMARY_A, SAYS_PRIMARY_B -> claimedAt[host] = time;
                case SAYS_REPLICA_A, SAYS_REPLICA_B -> deniedAt[host] = time;
                case ENDS_OLD_ANSWER_AS_PRIMARY_A -> claimedAt[host] = Math.max(claimedAt[host], 0);
                default -> {}
            }
        }

        boolean mayBePrimary(int host) {
            return claimedAt[host] >= 0 && claimedAt[host] > deniedAt[host];
        }
    }

    /** One group of two hosts, to which events are applied in an order. */
    private static final class World {
        private final PrimaryRoles roles = new PrimaryRoles();
        private final Group group = new Group(1);
        private final Host[] hosts = {newHost("a"), newHost("b")};
        private final long[] saidPrimaryAt = {-1, -1};

        private Host newHost(String id) {
            Host host = new Host(id);
            host.group = group;
            group.members.add(host);
            return host;
        }

        void apply(Event event, long time) {
            Moment now = START.plus(Span.ofMillis(time));
            Host host = hosts[event.host];
            switch (event) {
                case LISTED_PRIMARY_A, LISTED_PRIMARY_B -> list(event.host, now);
                case SAYS_PRIMARY_A, SAYS_PRIMARY_B -> {
                    saidPrimaryAt[event.host] = time;
                    answer(host, Role.PRIMARY, now, now);
                }
                case SAYS_REPLICA_A, SAYS_REPLICA_B -> answer(host, Role.REPLICA, now, now);
                case ENDS_OLD_ANSWER_AS_PRIMARY_A -> {
                    saidPrimaryAt[event.host] = Math.max(saidPrimaryAt[event.host], 0);
                    answer(host, Role.PRIMARY, START, now);
                }
                default -> {
                    group.members.remove(host);
                    roles.onRemoved(host);
                    boolean listedPrimary = host.listedPrimary;
                    hosts[event.host] = newHost(host.id);
                    roles.onAdded(hosts[event.host]);
                    roles.onListed(hosts[event.host], listedPrimary, group.primary != null, now);
                }
            }
        }

        private void list(int primary, Moment now) {
            for (int i = 0; i < hosts.length; i++) {
                roles.onListed(hosts[i], i == primary, group.primary != null, now);
            }
        }

        private void answer(Host host, Role role, Moment saidAt, Moment now) {
            host.lastUsefulAnswerAt = now;
            roles.onReport(host, role, saidAt);
        }
    }

    /**
     * Guards, in every order of up to six events, against a host that is taken for the primary
     * although it has said since that it is a replica, and against an older claim that replaces a
     * newer one.
     */
    @Test
    void noOrderOfEventsMakesAHostThePrimaryThatIsNot() {
        List<Event> order = new ArrayList<>();
        int orders = 0;
        for (int length = 1; length <= LONGEST_ORDER; length++) {
            int[] choice = new int[length];
            do {
                order.clear();
                Arrays.stream(choice).forEach(i -> order.add(Event.values()[i]));
                check(order);
                orders++;
            } while (advance(choice));
        }
        assertThat(orders).isEqualTo(9 + 81 + 729 + 6_561 + 59_049 + 531_441);
    }

    private static boolean advance(int[] choice) {
        for (int i = choice.length - 1; i >= 0; i--) {
            choice[i] = (choice[i] + 1) % Event.values().length;
            if (choice[i] > 0) {
                return true;
            }
        }
        return false;
    }

    private static void check(List<Event> order) {
        World world = new World();
        Oracle oracle = new Oracle();
        for (int i = 0; i < order.size(); i++) {
            long time = 1 + 100L * i;
            world.apply(order.get(i), time);
            oracle.apply(order.get(i), time);
            Host primary = world.group.primary;
            if (primary != null) {
                int index = primary.id.equals("a") ? 0 : 1;
                if (primary != world.hosts[index] || !oracle.mayBePrimary(index)) {
                    throw new AssertionError(primary.id + " is the primary after " + order);
                }
                int other = 1 - index;
                if (world.saidPrimaryAt[index] >= 0
                        && world.saidPrimaryAt[other] > world.saidPrimaryAt[index]
                        && oracle.mayBePrimary(other)
                        && !listedLater(order, i, index, world.saidPrimaryAt[other])) {
                    throw new AssertionError("an older claim of " + primary.id + " in " + order);
                }
            }
        }
    }

    private static boolean listedLater(List<Event> order, int last, int host, long since) {
        for (int i = 0; i <= last; i++) {
            Event event = order.get(i);
            boolean listed = event == Event.LISTED_PRIMARY_A || event == Event.LISTED_PRIMARY_B;
            if (listed && event.host == host && 1 + 100L * i > since) {
                return true;
            }
        }
        return false;
    }

    /** Guards against memory that grows with the hosts that discovery has named. */
    @Test
    void onlyTheLatestFormerHostsAreRemembered() {
        World world = new World();
        PrimaryRoles roles = world.roles;
        for (int i = 0; i <= PrimaryRoles.MAX_FORMER_HOSTS; i++) {
            Host host = world.newHost("h" + i);
            host.reportedReplica = true;
            roles.onRemoved(host);
        }
        Host forgotten = world.newHost("h0");
        roles.onAdded(forgotten);
        assertThat(forgotten.reportedReplica).isFalse();
        Host remembered = world.newHost("h1");
        roles.onAdded(remembered);
        assertThat(remembered.reportedReplica).isTrue();
    }
}
