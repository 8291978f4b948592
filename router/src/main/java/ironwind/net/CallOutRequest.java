package ironwind.net;

import ironwind.model.CallOut;
import ironwind.model.Moment;
import ironwind.pg.Encoder;

/** One call-out on its way: it has one end, and tells the module's task of it once. */
final class CallOutRequest implements HostConnection.Request {
    final CallOut callOut;
    final Exchange exchange;
    private final LogicTask task;
    private HostConnection connection;
    private Timers.Timer limit;
    private boolean over;

    CallOutRequest(LogicTask task, CallOut callOut, Exchange exchange) {
        this.task = task;
        this.callOut = callOut;
        this.exchange = exchange;
    }

    /** Goes out at once where a connection is idle, else once one has come up. */
    void begin(HostConnectionPool hosts, Moment now, Timers.Timer timeOut) {
        limit = timeOut;
        connection = hosts.open(callOut.host.id, this);
        if (connection == null) {
            ended(Ending.NO_SOCKET, null);
        } else if (connection.isUp()) {
            write(now);
        }
    }

    boolean isOver() {
        return over;
    }

    @Override
    public void up() {
        task.up(this);
    }

    void write(Moment now) {
        long left = callOut.rpc.deadline.since(now).us() / 1_000;
        connection.write(Encoder.query(exchange.statement.withTimeLeft(Math.max(1, left))));
    }

    /** Its connection is up, but the request is no longer to be written. */
    void leave() {
        connection.leave();
        ended(Ending.NOT_SENT, null);
    }

    /** Closes its connection. What was not written yet has never run. */
    void giveUp(Ending ending) {
        if (!over) {
            ended(connection.giveUp() ? ending : Ending.NOT_SENT, null);
        }
    }

    @Override
    public void ended(Ending ending, HostAnswer word) {
        over = true;
        limit.cancel();
        task.ended(this, ending, word);
    }
}
