package ironwind.net;

import ironwind.model.Host;
import ironwind.model.Moment;
import ironwind.model.Role;
import ironwind.pg.Encoder;

/** A probe of a host, which reports its end to the {@link LogicTask}. */
final class Probe implements HostConnection.Request {
    /** The statement that only checks whether the host answers. */
    static final String PING = "SELECT 1";

    /** The statement that asks the host for a load report. */
    static final String LOAD_REPORT = "SHOW load";

    private final LogicTask logicTask;
    private final Host host;
    private String statement;
    private HostConnection connection;
    private Timers.Timer timeout;

    /** Creates a probe that has not been started. */
    Probe(LogicTask logicTask, Host host) {
        this.logicTask = logicTask;
        this.host = host;
    }

    /** Sends the statement at once if a connection is idle, otherwise once one is established. */
    void start(HostConnectionPool pool, String sql, Timers.Timer timeoutTimer) {
        statement = sql;
        timeout = timeoutTimer;
        connection = pool.acquire(host.id, this);
        if (connection == null) {
            onEnded(Ending.NO_SOCKET, null);
        } else if (connection.isReady()) {
            onConnected();
        }
    }

    @Override
    public void onConnected() {
        connection.write(Encoder.queryMessage(statement));
    }

    /** Gives up the probe because of its timeout, and closes its connection. */
    void giveUp() {
        connection.giveUp();
        onEnded(Ending.TIMED_OUT, null);
    }

    @Override
    public void onEnded(Ending ending, HostAnswer answer) {
        timeout.cancel();
        boolean answered = ending == Ending.SERVED;
        logicTask.onProbeEnded(
                host,
                answered,
                answered ? answer.loadReportRole() : Role.UNKNOWN,
                answered ? answer.loadReportPosition(Clock.read()) : Moment.NEVER);
        HostAnswer.release(answer);
    }
}
