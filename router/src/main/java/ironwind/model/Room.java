package ironwind.model;

/** How many call-outs may be out at once, at one host or in a pool of hosts. State only. */
public final class Room {
    public double limit;

    /** Answer times as parts of soft deadlines, smoothed. */
    public final Mean strain = new Mean(0);

    public Moment moved = Moment.NEVER;

    /** When a pool with room for less than one call-out may have one again. */
    public Moment freeAt = Moment.NEVER;

    /** Call-outs out; kept for pools only, as a host lists its own. */
    public int out;

    public Room(double limit) {
        this.limit = limit;
    }
}
