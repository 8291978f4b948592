package ironwind.adapter;

import ironwind.Logic;
import ironwind.model.CallOut;
import ironwind.model.Customer;
import ironwind.model.Deployment;
import ironwind.model.Group;
import ironwind.model.Host;
import ironwind.model.HostEntry;
import ironwind.model.Inbound;
import ironwind.model.Method;
import ironwind.model.Moment;
import ironwind.model.Outbound;
import ironwind.model.Outcome;
import ironwind.model.Role;
import ironwind.model.Rpc;
import ironwind.model.Span;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One router instance under the simulator. Resolves the ids in events to model objects, calls the
 * decision logic, and writes its decisions as lines with ids.
 */
final class SimulatedRouter implements Outbound {
    private static final Map<String, Outcome> OUTCOMES =
            Map.of(
                    "delivered",
                    Outcome.OK,
                    "app_error",
                    Outcome.ERROR,
                    "shed",
                    Outcome.OVERLOADED,
                    "expired",
                    Outcome.TIMED_OUT,
                    "dial_failed",
                    Outcome.CONNECT_FAILED,
                    "dropped",
                    Outcome.CONNECTION_LOST,
                    "revoked",
                    Outcome.CANCELLED,
                    "unused",
                    Outcome.NOT_SENT,
                    "empty",
                    Outcome.INELIGIBLE);

    /**
     * The field {@code note} holds this factor times the position, in milliseconds from {@link
     * Deployment#positionEpoch()}, plus the role.
     */
    private static final int NOTE_FACTOR = 4;

    private static final int ROLE_PRIMARY = 1;
    private static final int ROLE_REPLICA = 2;

    private final int number;
    private final StringBuilder output;
    private final Deployment deployment;
    private final Inbound logic;
    private final Map<String, Rpc> rpcs = new HashMap<>();
    private boolean failed;

    SimulatedRouter(int number, long seed, Deployment deployment, StringBuilder output) {
        this.number = number;
        this.output = output;
        this.deployment = deployment;
        this.logic = new Logic(deployment, seed, this);
    }

    void onHostList(Moment now, Line line, Map<Integer, List<HostEntry>> hostLists) {
        int scope = line.requireInt("scope");
        switch (scope) {
            case 1 -> {}
            case 0, 2, 3 -> {
                List<HostEntry> entries = hostLists.get(line.requireInt("ref"));
                if (entries == null) {
                    throw line.error("ref", "is not a defined host list");
                }
                runLogic(() -> logic.onDiscoveryUpdate(now, scope != 3, entries));
            }
            default -> throw line.error("scope", "has an unknown value: " + scope);
        }
    }

    void onRpcArrived(Moment now, Line line) {
        String id = line.requireString("txn");
        Method method =
                deployment.methods().get(requireIndex(line, "lane", deployment.methods().size()));
        int count = deployment.customers().size();
        Customer customer =
                count == 0
                        ? null
                        : deployment.customers().get(requireIndex(line, "account", count));
        double tokenAgeMs = line.getDouble("token_age_ms", 0);
        // The age is rounded down, so that the required position is never too low.
        Moment token =
                tokenAgeMs <= 0
                        ? Moment.NEVER
                        : now.minus(new Span((long) Math.floor(tokenAgeMs * 1_000)));
        Moment deadline =
                new Moment(line.getLong("not_after_us", now.plus(method.deadline()).us()));
        runLogic(
                () -> {
                    int groupNumber = (int) line.getDouble("cluster", 0);
                    Group known = logic.group(groupNumber);
                    Group group = known == null ? new Group(groupNumber) : known;
                    Rpc rpc =
                            new Rpc(
                                    id,
                                    method,
                                    customer,
                                    group,
                                    line.getString("conn_key"),
                                    now,
                                    deadline,
                                    token,
                                    line.getBoolean("repeat"));
                    rpcs.put(id, rpc);
                    logic.onRpcArrived(now, rpc);
                });
    }

    void onCallOutEnded(Moment now, Line line) {
        String id = line.requireString("txn");
        int attempt = line.requireInt("seq_no");
        String code = line.requireString("code");
        Outcome outcome = OUTCOMES.get(code);
        if (outcome == null) {
            throw line.error("code", "has an unknown value: " + code);
        }
        long note = line.getLong("note", 0);
        Span duration = new Span(line.getLong("lag_us", 0));
        boolean finalAnswerGiven = line.getBoolean("final");
        Rpc rpc = rpcs.get(id);
        if (rpc == null
                || attempt < 0
                || attempt >= rpc.callOuts.size()
                || rpc.callOuts.get(attempt).ended) {
            return;
        }
        Role role =
                switch ((int) (note % NOTE_FACTOR)) {
                    case ROLE_PRIMARY -> Role.PRIMARY;
                    case ROLE_REPLICA -> Role.REPLICA;
                    default -> Role.UNKNOWN;
                };
        long positionMs = note / NOTE_FACTOR;
        Moment position =
                positionMs == 0
                        ? Moment.NEVER
                        : deployment.positionEpoch().plus(Span.ofMillis(positionMs));
        runLogic(
                () ->
                        logic.onCallOutEnded(
                                now,
                                rpc.callOuts.get(attempt),
                                outcome,
                                finalAnswerGiven,
                                role,
                                position,
                                now,
                                duration));
        removeIfDone(rpc);
    }

    void onProbeEnded(Moment now, Line line) {
        String id = line.requireString("host");
        boolean answered = line.requireString("code").equals("delivered");
        double positionSeconds = line.reportValue("usage", "x0");
        double primaryValue = line.reportValue("usage", "x1");
        Role role =
                Double.isNaN(primaryValue)
                        ? Role.UNKNOWN
                        : primaryValue >= 1 ? Role.PRIMARY : Role.REPLICA;
        Moment position =
                Double.isNaN(positionSeconds)
                        ? Moment.NEVER
                        : deployment
                                .positionEpoch()
                                .plus(new Span((long) Math.floor(positionSeconds * 1_000_000)));
        runLogic(
                () -> {
                    Host host = logic.host(id);
                    if (host != null) {
                        logic.onProbeEnded(now, host, answered, role, position);
                    }
                });
    }

    void onClientLeft(Moment now, Line line) {
        Rpc rpc = rpcs.get(line.requireString("txn"));
        if (rpc != null) {
            runLogic(() -> logic.onClientLeft(now, rpc));
            removeIfDone(rpc);
        }
    }

    void onBatchEnd(Moment now) {
        runLogic(() -> logic.onBatchEnd(now));
    }

    /**
     * Runs a call of the decision logic. After an exception this router ignores all further events;
     * the exception and where it was thrown are reported to the simulator, and other routers go on.
     */
    private void runLogic(Runnable call) {
        if (failed) {
            return;
        }
        try {
            call.run();
        } catch (MalformedLineException e) {
            throw e;
        } catch (RuntimeException e) {
            failed = true;
            StackTraceElement[] trace = e.getStackTrace();
            String origin = trace.length == 0 ? "" : " at " + trace[0];
            String text = (e + origin).replace('\t', ' ').replace('\n', ' ').replace('\r', ' ');
            startLine("INTERNAL_ERROR").append("\tmessage=").append(text).append('\n');
        }
    }

    private void removeIfDone(Rpc rpc) {
        if (rpc.state == Rpc.State.DONE && rpc.inFlight == 0) {
            rpcs.remove(rpc.id);
        }
    }

    private int requireIndex(Line line, String key, int size) {
        int value = line.getInt(key, 0);
        if (value < 0 || value >= size) {
            throw line.error(key, "is out of range: " + value);
        }
        return value;
    }

    private StringBuilder startLine(String name) {
        return output.append(name).append("\trouter=").append(number);
    }

    @Override
    public void send(CallOut callOut, Span timeout) {
        startLine("HAND_OFF")
                .append("\ttxn=")
                .append(callOut.rpc.id)
                .append("\thost=")
                .append(callOut.host.id);
        if (timeout.us() > 0) {
            output.append("\tlimit_us=").append(timeout.us());
        }
        output.append('\n');
    }

    @Override
    public void cancel(CallOut callOut) {
        startLine("UNDO_SEND")
                .append("\ttxn=")
                .append(callOut.rpc.id)
                .append("\tseq_no=")
                .append(callOut.attempt)
                .append('\n');
    }

    @Override
    public void pushBack(Rpc rpc, Span retryAfter) {
        startLine("DECLINE").append("\ttxn=").append(rpc.id);
        if (retryAfter.us() > 0) {
            output.append("\tbackoff_us=").append(retryAfter.us());
        }
        output.append('\n');
        removeIfDone(rpc);
    }

    @Override
    public void abort(Rpc rpc) {
        startLine("END_FAILED").append("\ttxn=").append(rpc.id).append('\n');
        removeIfDone(rpc);
    }

    @Override
    public void probe(Host host) {
        startLine("PING").append("\thost=").append(host.id).append('\n');
    }

    @Override
    public void closeIdleConnections(Host host) {
        startLine("SHUT_IDLE").append("\thost=").append(host.id).append('\n');
    }

    @Override
    public void wakeAt(Moment when) {
        startLine("WAKE_ME").append("\twhen_us=").append(when.us()).append("\tname=0\n");
    }
}
