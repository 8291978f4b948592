package ironwind.model;

/** Actions that the decision logic requests. */
public interface Outbound {
    /**
     * Sends a call-out to its host.
     *
     * @param timeout time after which the call-out is given up; zero for the time until the
     *     client's deadline
     */
    void send(CallOut callOut, Span timeout);

    /** Cancels a call-out. Its end is still reported. */
    void cancel(CallOut callOut);

    /**
     * Answers an RPC as pushed back: retrying it is safe.
     *
     * @param retryAfter how long the client is asked to wait before; zero to leave that open
     */
    void pushBack(Rpc rpc, Span retryAfter);

    /** Answers an RPC as aborted: it may or may not have run. */
    void abort(Rpc rpc);

    /** Probes a host for a sign of life, its role and its log position. */
    void probe(Host host);

    /** Closes the idle connections to a host. */
    void closeIdleConnections(Host host);

    /** Requests a batch at the given time, even if no event comes. */
    void wakeAt(Moment when);
}
