package ironwind.model;

import java.util.ArrayList;
import java.util.List;

/** A primary and its replicas. Plain state, written by the decision logic. */
public final class Group {
    /** The group's number in discovery. */
    public final int number;

    /** All known members, ordered by id. */
    public final List<Host> members = new ArrayList<>();

    /** The member believed to be the primary; null if none is known. */
    public Host primary;

    /**
     * Time of the newest report of a host that it is the primary; {@link Moment#NEVER} if there was
     * none. A primary named by discovery leaves it unchanged.
     */
    public Moment primaryReportedAt = Moment.NEVER;

    /** Limits this router's call-outs to the primary; replaced when the primary changes. */
    public ConcurrencyLimit primaryPool = new ConcurrencyLimit(Double.MAX_VALUE);

    /** Limits this router's call-outs to all replicas together. */
    public final ConcurrencyLimit replicaPool = new ConcurrencyLimit(Double.MAX_VALUE);

    /** Smallest lag among the recent position reports of the members. */
    public Span minLag = Span.ZERO;

    /** The sessions' commits, where the router remembers them. */
    public final SessionCommits sessionCommits = new SessionCommits();

    /** Whether an RPC has arrived for the group; unused groups are not probed. */
    public boolean used;

    /** When a write or a strong read last found no primary that accepts sends. */
    public Moment primaryMissingAt = Moment.NEVER;

    /** Creates a group without members. */
    public Group(int number) {
        this.number = number;
    }
}
