package ironwind.model;

/** One sending of an RPC to a host. State only. */
public final class CallOut {
    public final Rpc rpc;
    public final Host host;

    /** The router-wide room it takes up. */
    public final Room pool;

    public final int number;
    public final Moment sent;
    public boolean ended;
    public boolean cancelled;
    public boolean overdue;

    /** Out at a host that went silent: no longer counted in its pool. */
    public boolean stranded;

    public CallOut(Rpc rpc, Host host, Room pool, int number, Moment sent) {
        this.rpc = rpc;
        this.host = host;
        this.pool = pool;
        this.number = number;
        this.sent = sent;
    }
}
