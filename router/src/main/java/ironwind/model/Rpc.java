package ironwind.model;

import java.util.ArrayList;
import java.util.List;

/** One client RPC. State only, but for the facts it came with. */
public final class Rpc {
    public final String id;
    public final Method method;
    public final Customer customer;
    public final Group group;
    public final String session;
    public final Moment arrived;

    /** Its client's, or sooner where the router itself ends. */
    public Moment deadline;

    /** The position a session read must see; {@link Moment#NEVER} for none. */
    public final Moment token;

    public final boolean repeat;

    /** It came when there was no memory or time left to hold it: only its answer is owed. */
    public boolean roomless;

    public Stage stage = Stage.HELD;
    public boolean overShare;
    public final List<CallOut> callOuts = new ArrayList<>();
    public int out;

    /** Sent at, of the first call-out that may have run. */
    public Moment firstMayHaveRun;

    /** A host found itself too far behind for it. */
    public boolean missed;

    /** The last host that answered it with an error, and whether a second has. */
    public Host erredAt;

    public boolean errsAnywhere;

    public Rpc(
            String id,
            Method method,
            Customer customer,
            Group group,
            String session,
            Moment arrived,
            Moment deadline,
            Moment token,
            boolean repeat) {
        this.id = id;
        this.method = method;
        this.customer = customer;
        this.group = group;
        this.session = session;
        this.arrived = arrived;
        this.deadline = deadline;
        this.token = token;
        this.repeat = repeat;
    }

    /** Where an RPC stands. */
    public enum Stage {
        /** No call-out is out. */
        HELD,
        /** One call-out is out. */
        OUT,
        /** Two are out. */
        TWICE_OUT,
        /** Its final answer is given. */
        OVER
    }
}
