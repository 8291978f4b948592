package ironwind.model;

/** What the decision module asks for. */
public interface Outbound {
    /** Send; a zero limit means until the client gives up. */
    void send(CallOut callOut, Span limit);

    void cancel(CallOut callOut);

    void pushBack(Rpc rpc, Span comeBackAfter);

    void abort(Rpc rpc);

    void probe(Host host);

    /** Close our idle connections to the host. */
    void closeIdle(Host host);

    void wakeAt(Moment when);
}
