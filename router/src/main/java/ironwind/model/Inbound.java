package ironwind.model;

import java.util.List;

/** What comes into the decision module. Every call of a batch carries the batch's time. */
public interface Inbound {
    /** The list's news: all of it, or changed entries only. */
    void listed(Moment now, boolean complete, List<RosterEntry> entries);

    /** The host of this id, or null where no list has named it. */
    Host host(String id);

    /** The group of this number, or null where no list has named it. */
    Group group(int number);

    /** A client's RPC has come. */
    void arrived(Moment now, Rpc rpc);

    /** Whether a call-out whose connection took time to come up may still be written to it. */
    boolean stillPasses(Moment now, CallOut callOut);

    /**
     * A call-out has ended. {@code closed}: the RPC's final answer has gone out with this outcome
     * or before.
     */
    void ended(
            Moment now,
            CallOut callOut,
            Outcome outcome,
            boolean closed,
            Role role,
            Moment position,
            Span took);

    /** A probe has ended; role and position as the host's report had them, where it had any. */
    void probed(Moment now, Host host, boolean answered, Role role, Moment position);

    /** The client is gone: nothing more is owed. */
    void left(Moment now, Rpc rpc);

    /** All events of this batch are in. */
    void settle(Moment now);
}
