package ironwind;

import ironwind.model.CallOut;
import ironwind.model.Consistency;
import ironwind.model.Customer;
import ironwind.model.Deployment;
import ironwind.model.Deployment.StaleReadPolicy;
import ironwind.model.Host;
import ironwind.model.Host.DiscoveryState;
import ironwind.model.HostEntry;
import ironwind.model.Idempotency;
import ironwind.model.Method;
import ironwind.model.Moment;
import ironwind.model.Outbound;
import ironwind.model.Outcome;
import ironwind.model.Role;
import ironwind.model.Rpc;
import ironwind.model.Span;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * One router on a made-up deployment: brings events by the millisecond and notes what the module
 * asks for.
 */
final class Scene implements Outbound {
    static final int WRITE = 0;
    static final int FRESH = 1;
    static final int SESSION = 2;
    static final int BOUNDED = 3;
    static final int ANY = 4;

    final List<String> asked = new ArrayList<>();
    final Logic logic;
    private final Deployment deployment;
    private final TreeMap<Long, Boolean> wakes = new TreeMap<>();
    private long ms = 1_000_000;
    private int count;

    Scene(StaleReadPolicy checks, boolean parallel, Idempotency writes, int routers) {
        this(checks, parallel, writes, routers, false);
    }

    Scene(
            StaleReadPolicy checks,
            boolean parallel,
            Idempotency writes,
            int routers,
            boolean onlyDrainingBinds) {
        List<Method> methods = new ArrayList<>();
        for (Consistency freshness : Consistency.values()) {
            Idempotency effect = freshness == Consistency.WRITE ? writes : Idempotency.IDEMPOTENT;
            methods.add(
                    new Method(
                            methods.size(),
                            effect,
                            freshness,
                            Span.ofMillis(300),
                            Span.ofMillis(500),
                            Span.ofMillis(2_000),
                            freshness == Consistency.WRITE ? 6 : 2,
                            freshness == Consistency.WRITE ? 3 : 0,
                            false,
                            Span.ofMillis(1_000)));
        }
        deployment =
                new Deployment(
                        methods,
                        List.of(new Customer(0, 0)),
                        routers,
                        Span.ofMillis(5),
                        checks,
                        true,
                        checks == StaleReadPolicy.REJECT,
                        false,
                        true,
                        parallel,
                        6,
                        true,
                        Span.ofMillis(1_000),
                        0.01,
                        0.1,
                        new Moment(0),
                        onlyDrainingBinds,
                        0.2,
                        Span.ofMillis(10_000),
                        2,
                        Span.ofMillis(1_000));
        logic = new Logic(deployment, 7, this);
    }

    /**
     * Entries are words such as {@code a}, {@code a:primary}, {@code a:draining}, {@code a:gone},
     * {@code a:cold}; names with {@code far} are of another zone, with {@code other} of another
     * group.
     */
    Scene list(boolean complete, String... entries) {
        List<HostEntry> list = new ArrayList<>();
        for (String entry : entries) {
            String[] words = (entry + ":ready").split(":");
            DiscoveryState listing =
                    words[1].equals("draining")
                            ? DiscoveryState.DRAINING
                            : words[1].equals("gone") ? DiscoveryState.GONE : DiscoveryState.READY;
            Moment started = words[1].equals("cold") ? now() : Moment.NEVER;
            int zone = words[0].startsWith("far") ? 1 : 0;
            int group = words[0].startsWith("other") ? 2 : 1;
            list.add(
                    new HostEntry(
                            words[0],
                            zone,
                            0,
                            group,
                            listing,
                            1,
                            started,
                            words[1].equals("primary")));
        }
        logic.onDiscoveryUpdate(now(), complete, list);
        logic.onBatchEnd(now());
        return this;
    }

    Moment now() {
        return new Moment(ms * 1_000);
    }

    /** Moves on, waking the module whenever it asked for it. */
    Scene pass(long span) {
        for (long until = ms + span; ms < until; ) {
            ms++;
            if (!wakes.isEmpty() && wakes.firstKey() <= ms * 1_000) {
                wakes.pollFirstEntry();
                logic.onBatchEnd(now());
            }
        }
        return this;
    }

    Rpc arrive(int method) {
        return arrive(method, 0);
    }

    Rpc arrive(int method, long tokenAge) {
        return arrive(method, tokenAge, 2_000);
    }

    Rpc arrive(int method, long tokenAge, long waits) {
        Moment token = tokenAge == 0 ? Moment.NEVER : now().minus(Span.ofMillis(tokenAge));
        Rpc rpc =
                new Rpc(
                        "r" + count++,
                        deployment.methods().get(method),
                        deployment.customers().get(0),
                        logic.group(1),
                        "s",
                        now(),
                        now().plus(Span.ofMillis(waits)),
                        token,
                        false);
        logic.onRpcArrived(now(), rpc);
        logic.onBatchEnd(now());
        return rpc;
    }

    /** Ends the RPC's newest call-out; a negative age tells no position. */
    Scene end(Rpc rpc, Outcome outcome, Role role, long positionAge) {
        CallOut callOut = rpc.callOuts.get(rpc.callOuts.size() - 1);
        Moment position = positionAge < 0 ? Moment.NEVER : now().minus(Span.ofMillis(positionAge));
        boolean closed = outcome == Outcome.OK || rpc.state == Rpc.State.DONE;
        logic.onCallOutEnded(
                now(), callOut, outcome, closed, role, position, now().since(callOut.sentAt));
        logic.onBatchEnd(now());
        return this;
    }

    /** Lets others be answered, each after 50 ms. */
    Scene othersAnswer(long span) {
        return serve((int) (span / 50), ANY, 50);
    }

    /** Takes RPCs of a method, each answered after so long where it was sent. */
    Scene serve(int count, int method, long after) {
        for (int i = 0; i < count; i++) {
            Rpc rpc = arrive(method);
            pass(after);
            if (rpc.inFlight > 0) {
                Host host = rpc.callOuts.get(0).host;
                end(rpc, Outcome.OK, host == host.group.primary ? Role.PRIMARY : Role.REPLICA, 0);
            }
        }
        return this;
    }

    Host host(String id) {
        return logic.host(id);
    }

    /** Where the RPC's call-outs went, in order. */
    static String path(Rpc rpc) {
        return String.join(",", rpc.callOuts.stream().map(callOut -> callOut.host.id).toList());
    }

    @Override
    public void send(CallOut callOut, Span limit) {
        asked.add("send " + callOut.rpc.id + " " + callOut.host.id);
    }

    @Override
    public void cancel(CallOut callOut) {
        asked.add("cancel " + callOut.rpc.id);
    }

    @Override
    public void pushBack(Rpc rpc, Span comeBackAfter) {
        asked.add("push back " + rpc.id);
    }

    @Override
    public void abort(Rpc rpc) {
        asked.add("abort " + rpc.id);
    }

    @Override
    public void probe(Host host) {
        asked.add("probe " + host.id);
    }

    @Override
    public void closeIdleConnections(Host host) {
        asked.add("close " + host.id);
    }

    @Override
    public void wakeAt(Moment when) {
        wakes.put(when.us(), true);
    }
}
