package ironwind.model;

import java.util.ArrayList;
import java.util.List;

/**
 * One RPC of a client. The final fields come with the request; the others are plain state, written
 * by the decision logic unless noted.
 */
public final class Rpc {
    /** The client's id for the RPC. */
    public final String id;

    /** The method that it calls. */
    public final Method method;

    /** The customer that it counts for; null for none. */
    public final Customer customer;

    /** The group that must answer it. */
    public final Group group;

    /** The client's session; null for none. */
    public final String session;

    /** When it arrived. */
    public final Moment arrivedAt;

    /**
     * The client's deadline, or an earlier time by which a router that shuts down must have
     * answered; lowered by the caller.
     */
    public Moment deadline;

    /** The log position that a session read must see; {@link Moment#NEVER} for none. */
    public final Moment sessionPosition;

    /** Whether the client marked it as a retry. */
    public final boolean clientRetry;

    /**
     * Whether there was no memory or time left to hold it when it arrived, so that it is answered
     * at once and never sent. Set by the caller.
     */
    public boolean rejectOnArrival;

    /** Where it is in its life cycle. */
    public State state = State.PENDING;

    /** Whether it exceeds its customer's quota. */
    public boolean overQuota;

    /** All its call-outs, in the order of sending. */
    public final List<CallOut> callOuts = new ArrayList<>();

    /** Number of its call-outs in flight. */
    public int inFlight;

    /** When the first call-out was sent that may have run; null if none may have. */
    public Moment firstPossibleRunAt;

    /** Whether a host rejected it as too far behind. */
    public boolean rejectedAsBehind;

    /** The last host that answered it with an error; null for none. */
    public Host lastErrorHost;

    /** Whether its last two errors came from different hosts. */
    public boolean erredOnTwoHosts;

    /** Creates an RPC that has no call-outs yet. */
    public Rpc(
            String id,
            Method method,
            Customer customer,
            Group group,
            String session,
            Moment arrivedAt,
            Moment deadline,
            Moment sessionPosition,
            boolean clientRetry) {
        this.id = id;
        this.method = method;
        this.customer = customer;
        this.group = group;
        this.session = session;
        this.arrivedAt = arrivedAt;
        this.deadline = deadline;
        this.sessionPosition = sessionPosition;
        this.clientRetry = clientRetry;
    }

    /** Life cycle of an RPC. */
    public enum State {
        /** No call-out is in flight; the RPC waits to be sent or answered. */
        PENDING,
        /** One call-out is in flight. */
        IN_FLIGHT,
        /** Two call-outs are in flight. */
        HEDGED,
        /** The final answer has been given, or the client has left. */
        DONE
    }
}
