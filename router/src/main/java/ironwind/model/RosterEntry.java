package ironwind.model;

/** One entry of the host list. */
public record RosterEntry(
        String id,
        int zone,
        int kind,
        int group,
        Host.Listing listing,
        double size,
        Moment startedAt,
        boolean primary) {}
