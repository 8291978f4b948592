package ironwind.net;

import ironwind.model.Host;
import ironwind.model.Moment;
import ironwind.model.Role;
import ironwind.pg.Encoder;

/** One probe on its way. */
final class Probe implements HostConnection.Request {
    /** PROTOCOL: what asks for a sign of life, and what for a load report. */
    static final String FOR_LIFE = "SELECT 1";

    static final String FOR_REPORT = "SHOW load";

    private final LogicTask task;
    private final Host host;
    private String question;
    private HostConnection connection;
    private Timers.Timer limit;

    Probe(LogicTask task, Host host) {
        this.task = task;
        this.host = host;
    }

    void begin(HostConnectionPool hosts, String asked, Timers.Timer timeOut) {
        question = asked;
        limit = timeOut;
        connection = hosts.open(host.id, this);
        if (connection == null) {
            ended(Ending.NO_SOCKET, null);
        } else if (connection.isUp()) {
            up();
        }
    }

    @Override
    public void up() {
        connection.write(Encoder.query(question));
    }

    void giveUp() {
        connection.giveUp();
        ended(Ending.TIMED_OUT, null);
    }

    @Override
    public void ended(Ending ending, HostAnswer word) {
        limit.cancel();
        boolean answered = ending == Ending.SERVED;
        task.probed(
                host,
                answered,
                answered ? word.reportedRole() : Role.UNKNOWN,
                answered ? word.reportedPosition(Clock.read()) : Moment.NEVER);
    }
}
