package ironwind.model;

/** One sending of an RPC to a host. State only. */
public final class CallOut {
    public final Rpc rpc;
    public final Host host;
    public final int number;
    public final Moment sent;
    public boolean ended;
    public boolean provenUnrun;
    public boolean cancelled;

    public CallOut(Rpc rpc, Host host, int number, Moment sent) {
        this.rpc = rpc;
        this.host = host;
        this.number = number;
        this.sent = sent;
    }
}
