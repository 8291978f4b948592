package ironwind.adapter;

import ironwind.Logic;
import ironwind.model.CallOut;
import ironwind.model.Customer;
import ironwind.model.Deployment;
import ironwind.model.Group;
import ironwind.model.Host;
import ironwind.model.Inbound;
import ironwind.model.Method;
import ironwind.model.Moment;
import ironwind.model.Outbound;
import ironwind.model.Outcome;
import ironwind.model.Role;
import ironwind.model.RosterEntry;
import ironwind.model.Rpc;
import ironwind.model.Span;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One router instance at the wire's door: ids become objects on the way in, and ids again on the
 * way out.
 */
final class SimulatedRouter implements Outbound {
    private static final Map<String, Outcome> CODES =
            Map.of(
                    "delivered",
                    Outcome.OK,
                    "app_error",
                    Outcome.ERROR,
                    "shed",
                    Outcome.FULL,
                    "expired",
                    Outcome.EXPIRED,
                    "dial_failed",
                    Outcome.UNREACHED,
                    "dropped",
                    Outcome.BROKEN,
                    "revoked",
                    Outcome.CANCELLED,
                    "unused",
                    Outcome.UNSENT,
                    "empty",
                    Outcome.MISS);

    /** A position travels as four times itself, plus the role. */
    private static final int NOTE_PARTS = 4;

    private static final int ROLE_PRIMARY = 1;
    private static final int ROLE_REPLICA = 2;

    private final int number;
    private final StringBuilder reply;
    private final Deployment deployment;
    private final Inbound logic;
    private final Map<String, Rpc> rpcs = new HashMap<>();
    private boolean failed;

    SimulatedRouter(int number, long seed, Deployment deployment, StringBuilder reply) {
        this.number = number;
        this.reply = reply;
        this.deployment = deployment;
        this.logic = new Logic(deployment, seed, this);
    }

    void listed(Moment now, Line line, Map<Integer, List<RosterEntry>> lists) {
        int scope = line.needSmall("scope");
        switch (scope) {
            case 1 -> {}
            case 0, 2, 3 -> {
                List<RosterEntry> entries = lists.get(line.needSmall("ref"));
                if (entries == null) {
                    throw line.fault("ref", "names no list");
                }
                guard(() -> logic.listed(now, scope != 3, entries));
            }
            default -> throw line.fault("scope", "has an unknown value: " + scope);
        }
    }

    void arrived(Moment now, Line line) {
        String id = line.need("txn");
        Method method = deployment.methods().get(index(line, "lane", deployment.methods().size()));
        int count = deployment.customers().size();
        Customer customer =
                count == 0 ? null : deployment.customers().get(index(line, "account", count));
        double tokenAge = line.number("token_age_ms", 0);
        // The age is rounded down, so that the position asked for is never too low.
        Moment token =
                tokenAge <= 0
                        ? Moment.NEVER
                        : now.minus(new Span((long) Math.floor(tokenAge * 1_000)));
        Moment deadline = new Moment(line.whole("not_after_us", now.plus(method.deadline()).us()));
        guard(
                () -> {
                    int number = (int) line.number("cluster", 0);
                    Group listed = logic.group(number);
                    Group group = listed == null ? new Group(number) : listed;
                    Rpc rpc =
                            new Rpc(
                                    id,
                                    method,
                                    customer,
                                    group,
                                    line.text("conn_key"),
                                    now,
                                    deadline,
                                    token,
                                    line.flag("repeat"));
                    rpcs.put(id, rpc);
                    logic.arrived(now, rpc);
                });
    }

    void ended(Moment now, Line line) {
        String id = line.need("txn");
        int attempt = line.needSmall("seq_no");
        String code = line.need("code");
        Outcome outcome = CODES.get(code);
        if (outcome == null) {
            throw line.fault("code", "has an unknown word: " + code);
        }
        long note = line.whole("note", 0);
        Span took = new Span(line.whole("lag_us", 0));
        boolean closed = line.flag("final");
        Rpc rpc = rpcs.get(id);
        if (rpc == null
                || attempt < 0
                || attempt >= rpc.callOuts.size()
                || rpc.callOuts.get(attempt).ended) {
            return;
        }
        Role role =
                switch ((int) (note % NOTE_PARTS)) {
                    case ROLE_PRIMARY -> Role.PRIMARY;
                    case ROLE_REPLICA -> Role.REPLICA;
                    default -> Role.UNTOLD;
                };
        long ms = note / NOTE_PARTS;
        Moment position =
                ms == 0 ? Moment.NEVER : deployment.positionZero().plus(Span.ofMillis(ms));
        guard(
                () ->
                        logic.ended(
                                now,
                                rpc.callOuts.get(attempt),
                                outcome,
                                closed,
                                role,
                                position,
                                took));
        forget(rpc);
    }

    void probed(Moment now, Line line) {
        String id = line.need("host");
        boolean answered = line.need("code").equals("delivered");
        double seconds = line.reported("usage", "x0");
        double leads = line.reported("usage", "x1");
        Role role = Double.isNaN(leads) ? Role.UNTOLD : leads >= 1 ? Role.PRIMARY : Role.REPLICA;
        Moment position =
                Double.isNaN(seconds)
                        ? Moment.NEVER
                        : deployment
                                .positionZero()
                                .plus(new Span((long) Math.floor(seconds * 1_000_000)));
        guard(
                () -> {
                    Host host = logic.host(id);
                    if (host != null) {
                        logic.probed(now, host, answered, role, position);
                    }
                });
    }

    void left(Moment now, Line line) {
        Rpc rpc = rpcs.get(line.need("txn"));
        if (rpc != null) {
            guard(() -> logic.left(now, rpc));
            forget(rpc);
        }
    }

    void settle(Moment now) {
        guard(() -> logic.settle(now));
    }

    /**
     * An exception of the module ends this instance's day with a text that helps; it never takes
     * others along.
     */
    private void guard(Runnable step) {
        if (failed) {
            return;
        }
        try {
            step.run();
        } catch (MalformedLineException e) {
            throw e;
        } catch (RuntimeException e) {
            failed = true;
            StackTraceElement[] trace = e.getStackTrace();
            String where = trace.length == 0 ? "" : " at " + trace[0];
            String text = (e + where).replace('\t', ' ').replace('\n', ' ').replace('\r', ' ');
            action("INTERNAL_ERROR").append("\tmessage=").append(text).append('\n');
        }
    }

    private void forget(Rpc rpc) {
        if (rpc.stage == Rpc.Stage.OVER && rpc.out == 0) {
            rpcs.remove(rpc.id);
        }
    }

    private int index(Line line, String key, int size) {
        int value = line.small(key, 0);
        if (value < 0 || value >= size) {
            throw line.fault(key, "is out of range: " + value);
        }
        return value;
    }

    private StringBuilder action(String name) {
        return reply.append(name).append("\trouter=").append(number);
    }

    @Override
    public void send(CallOut callOut, Span limit) {
        action("HAND_OFF")
                .append("\ttxn=")
                .append(callOut.rpc.id)
                .append("\thost=")
                .append(callOut.host.id);
        if (limit.us() > 0) {
            reply.append("\tlimit_us=").append(limit.us());
        }
        reply.append('\n');
    }

    @Override
    public void cancel(CallOut callOut) {
        action("UNDO_SEND")
                .append("\ttxn=")
                .append(callOut.rpc.id)
                .append("\tseq_no=")
                .append(callOut.number)
                .append('\n');
    }

    @Override
    public void pushBack(Rpc rpc, Span comeBackAfter) {
        action("DECLINE").append("\ttxn=").append(rpc.id);
        if (comeBackAfter.us() > 0) {
            reply.append("\tbackoff_us=").append(comeBackAfter.us());
        }
        reply.append('\n');
        forget(rpc);
    }

    @Override
    public void abort(Rpc rpc) {
        action("END_FAILED").append("\ttxn=").append(rpc.id).append('\n');
        forget(rpc);
    }

    @Override
    public void probe(Host host) {
        action("PING").append("\thost=").append(host.id).append('\n');
    }

    @Override
    public void closeIdle(Host host) {
        action("SHUT_IDLE").append("\thost=").append(host.id).append('\n');
    }

    @Override
    public void wakeAt(Moment when) {
        action("WAKE_ME").append("\twhen_us=").append(when.us()).append("\tname=0\n");
    }
}
