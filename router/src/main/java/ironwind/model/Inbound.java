package ironwind.model;

import java.util.List;

/**
 * Events for the decision logic. Events come in batches: all calls of a batch have the same time,
 * and {@link #onBatchEnd} is the last.
 */
public interface Inbound {
    /**
     * Discovery has sent an update.
     *
     * @param complete whether the entries are the whole list; otherwise only those that changed
     */
    void onDiscoveryUpdate(Moment now, boolean complete, List<HostEntry> entries);

    /** Returns the host with this id, or null if no discovery update has named it. */
    Host host(String id);

    /** Returns the group with this number, or null if no discovery update has named it. */
    Group group(int number);

    /** An RPC of a client has arrived. */
    void onRpcArrived(Moment now, Rpc rpc);

    /** Returns whether a call-out may still be written, now that its connection is established. */
    boolean maySendNow(Moment now, CallOut callOut);

    /**
     * A call-out has ended.
     *
     * @param finalAnswerGiven whether the RPC is finished: its final answer has been given, by this
     *     call-out or earlier, or the client has left
     * @param role role that the host reported with its answer
     * @param position log position that it reported; {@link Moment#NEVER} for none
     * @param answeredAt when the host began to answer: what it reported is no newer than that
     * @param took time from sending to the outcome
     */
    void onCallOutEnded(
            Moment now,
            CallOut callOut,
            Outcome outcome,
            boolean finalAnswerGiven,
            Role role,
            Moment position,
            Moment answeredAt,
            Span took);

    /**
     * A probe has ended.
     *
     * @param role role in the host's load report; {@link Role#UNKNOWN} if it has none
     * @param position log position in the load report; {@link Moment#NEVER} if it has none
     */
    void onProbeEnded(Moment now, Host host, boolean answered, Role role, Moment position);

    /** The client has disconnected; the RPC needs no answer any more. */
    void onClientLeft(Moment now, Rpc rpc);

    /** All events of the batch have been delivered; waiting RPCs are sent or answered where due. */
    void onBatchEnd(Moment now);
}
