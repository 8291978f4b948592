package ironwind.net;

import ironwind.model.CallOut;
import ironwind.model.Moment;
import ironwind.pg.Encoder;

/** The request of a call-out. It ends exactly once, which it reports to the {@link LogicTask}. */
final class CallOutRequest implements HostConnection.Request {
    final CallOut callOut;
    final Exchange exchange;
    private final LogicTask logicTask;
    private HostConnection connection;
    private Timers.Timer timeout;
    private boolean ended;

    /** Creates a request that has not been started. */
    CallOutRequest(LogicTask logicTask, CallOut callOut, Exchange exchange) {
        this.logicTask = logicTask;
        this.callOut = callOut;
        this.exchange = exchange;
    }

    /**
     * Writes the request at once if a connection is idle. Otherwise opens one, and {@link
     * LogicTask#onConnected} writes or gives up the request once it is established.
     */
    void start(HostConnectionPool pool, Moment now, Timers.Timer timeoutTimer) {
        timeout = timeoutTimer;
        connection = pool.acquire(callOut.host.id, this);
        if (connection == null) {
            onEnded(Ending.NO_SOCKET, null);
        } else if (connection.isReady()) {
            write(now);
        }
    }

    /** Whether the request has ended. */
    boolean hasEnded() {
        return ended;
    }

    @Override
    public void onConnected() {
        logicTask.onConnected(this);
    }

    /** Writes the request with the time that is left until the client's deadline, at least 1 ms. */
    void write(Moment now) {
        long timeLeftMs = callOut.rpc.deadline.since(now).us() / 1_000;
        connection.write(
                Encoder.queryMessage(exchange.statement().withTimeLeft(Math.max(1, timeLeftMs))));
    }

    /** Gives up the request before it is written, and returns its connection to the pool. */
    void releaseUnsent() {
        connection.releaseUnsent();
        onEnded(Ending.NOT_SENT, null);
    }

    /**
     * Gives up the request and closes its connection.
     *
     * @param ending reported if the request was written; otherwise it has not run, and {@link
     *     Ending#NOT_SENT} is reported
     */
    void giveUp(Ending ending) {
        if (!ended) {
            onEnded(connection.giveUp() ? ending : Ending.NOT_SENT, null);
        }
    }

    @Override
    public void onEnded(Ending ending, HostAnswer answer) {
        ended = true;
        timeout.cancel();
        logicTask.onCallOutEnded(this, ending, answer);
    }
}
