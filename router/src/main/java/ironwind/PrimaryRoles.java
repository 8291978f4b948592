package ironwind;

import ironwind.model.Group;
import ironwind.model.Host;
import ironwind.model.Moment;
import ironwind.model.Role;
import ironwind.model.Span;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides which member of a group is believed to be its primary. What a host says of itself counts
 * from when it said so, so that an older statement never replaces a newer one, neither its own nor
 * another host's; and it outlives the host's absence from discovery.
 */
final class PrimaryRoles {
    /**
     * Discovery may be late by this much: an update that names a primary is ignored if the host has
     * reported within this time that it is a replica.
     */
    static final Span MAX_DISCOVERY_DELAY = Span.ofMillis(10_000);

    /**
     * Most hosts that are remembered after they have left; the first to leave is forgotten first.
     */
    static final int MAX_FORMER_HOSTS = 4_096;

    /** What hosts have said that discovery does not list any more, by id. */
    private final Map<String, FormerHost> formerHosts = new LinkedHashMap<>();

    /** What is known of a host that has left. */
    private record FormerHost(
            Group group,
            boolean listedPrimary,
            boolean reportedReplica,
            Moment roleReportedAt,
            Moment lastUsefulAnswerAt,
            Moment position) {}

    /**
     * Applies what a host has said of its role.
     *
     * @param reportedAt when the host said so, at the latest
     * @return whether the group's primary has become this host
     */
    boolean onReport(Host host, Role role, Moment reportedAt) {
        if (role == Role.UNKNOWN || reportedAt.before(host.roleReportedAt)) {
            return false;
        }
        host.roleReportedAt = reportedAt;
        boolean newest = !reportedAt.before(host.group.primaryReportedAt);
        if (role == Role.PRIMARY) {
            return newest && setPrimary(host, reportedAt);
        }
        if (host.group.primary != host || newest) {
            host.reportedReplica = true;
            if (host.group.primary == host) {
                host.group.primary = null;
            }
        }
        return false;
    }

    /**
     * Applies the role from discovery. Discovery may lag behind the hosts' answers, so a host
     * listed as primary becomes the primary only if it was not listed so before, no usable primary
     * is known, and it has not recently reported itself as a replica.
     *
     * @param usablePrimaryKnown whether a primary is known that sends are possible to
     * @return whether the group's primary has become this host
     */
    boolean onListed(Host host, boolean primary, boolean usablePrimaryKnown, Moment now) {
        boolean changed = primary && !host.listedPrimary;
        host.listedPrimary = primary;
        boolean recentlyReplica =
                host.reportedReplica
                        && now.since(host.lastUsefulAnswerAt).shorterThan(MAX_DISCOVERY_DELAY);
        return changed
                && !usablePrimaryKnown
                && !recentlyReplica
                && setPrimary(host, host.group.primaryReportedAt);
    }

    /** Makes a host the primary, and returns whether it was not before. */
    private static boolean setPrimary(Host host, Moment reportedAt) {
        Group group = host.group;
        boolean changed = group.primary != host;
        group.primary = host;
        group.primaryReportedAt = reportedAt;
        host.reportedReplica = false;
        return changed;
    }

    /** Remembers a host that has been removed from its group. */
    void onRemoved(Host host) {
        formerHosts.remove(host.id);
        formerHosts.put(
                host.id,
                new FormerHost(
                        host.group,
                        host.listedPrimary,
                        host.reportedReplica,
                        host.roleReportedAt,
                        host.lastUsefulAnswerAt,
                        host.position));
        if (formerHosts.size() > MAX_FORMER_HOSTS) {
            Iterator<FormerHost> oldest = formerHosts.values().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /**
     * Restores what is known of a host that has been added to its group, if it was there before.
     */
    void onAdded(Host host) {
        FormerHost former = formerHosts.remove(host.id);
        if (former == null || former.group != host.group) {
            return;
        }
        host.listedPrimary = former.listedPrimary;
        host.reportedReplica = former.reportedReplica;
        host.roleReportedAt = former.roleReportedAt;
        host.lastUsefulAnswerAt = former.lastUsefulAnswerAt;
        host.position = former.position;
        Host believed = host.group.primary;
        if (believed != null && believed != host && believed.id.equals(host.id)) {
            host.group.primary = host;
        }
    }
}
