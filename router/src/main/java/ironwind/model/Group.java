package ironwind.model;

import java.util.ArrayList;
import java.util.List;

/** A primary and its replicas. State only. */
public final class Group {
    public final int number;

    /** In id order. */
    public final List<Host> members = new ArrayList<>();

    public Host primary;
    public Moment primaryTold = Moment.NEVER;

    /** Room at the primary, and at all replicas together. */
    public Room leading = new Room(Double.MAX_VALUE);

    public final Room following = new Room(Double.MAX_VALUE);
    public Span leastLateness = Span.ZERO;
    public boolean used;

    /** When a write or a fresh read last found no known primary. */
    public Moment lastMisplaced = Moment.NEVER;

    public Group(int number) {
        this.number = number;
    }
}
