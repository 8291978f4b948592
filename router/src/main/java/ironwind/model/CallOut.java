package ironwind.model;

/** One attempt to run an RPC on a host. Plain state, written by the decision logic. */
public final class CallOut {
    /** The RPC that is sent. */
    public final Rpc rpc;

    /** The host that it is sent to. */
    public final Host host;

    /** The pool whose limit it counts against: that of the group's primary or of its replicas. */
    public final ConcurrencyLimit pool;

    /** Index among the RPC's call-outs, from 0. */
    public final int attempt;

    /** When the call-out was handed over for sending. */
    public final Moment sentAt;

    /**
     * The log position that a host which rejects stale reads is known to check for it; {@link
     * Moment#NEVER} for none.
     */
    public final Moment checkedPosition;

    /** Whether its outcome is known. */
    public boolean ended;

    /** Whether its cancellation has been requested. */
    public boolean cancelled;

    /**
     * Whether it has been counted as slower than the soft deadline, or was rejected as overload.
     */
    public boolean overdue;

    /** Whether its slot in the pool was released early, because its host became suspect. */
    public boolean releasedFromPool;

    /** Creates a call-out that is in flight. */
    public CallOut(
            Rpc rpc,
            Host host,
            ConcurrencyLimit pool,
            int attempt,
            Moment sentAt,
            Moment checkedPosition) {
        this.rpc = rpc;
        this.host = host;
        this.pool = pool;
        this.attempt = attempt;
        this.sentAt = sentAt;
        this.checkedPosition = checkedPosition;
    }
}
