package ironwind.model;

/**
 * One host in a discovery update.
 *
 * @param id the host's id
 * @param zone index of its zone
 * @param kind index of its kind
 * @param group number of its group
 * @param discoveryState its state
 * @param weight capacity relative to other hosts of its kind; 0 or less counts as 1
 * @param startedAt when it was started; {@link Moment#NEVER} if unknown
 * @param primary whether it is listed as its group's primary
 */
public record HostEntry(
        String id,
        int zone,
        int kind,
        int group,
        Host.DiscoveryState discoveryState,
        double weight,
        Moment startedAt,
        boolean primary) {}
