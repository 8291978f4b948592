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
import java.util.AbstractCollection;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.TreeMap;

/**
 * The logic of one router in an artificial deployment. Delivers events on a clock that advances in
 * milliseconds and records the requested actions.
 */
final class LogicFixture implements Outbound {
    /** Indexes of the methods, one for each {@link Consistency}. */
    static final int WRITE = 0;

    static final int STRONG = 1;
    static final int SESSION = 2;
    static final int BOUNDED = 3;
    static final int ANY = 4;

    private static final long SEED = 7;

    /** Requested actions in order, such as {@code send r0 a} or {@code push back r0}. */
    final List<String> actions = new ArrayList<>();

    Logic logic;

    /** The session of RPCs that arrive. */
    String session = "s";

    /** Hosts that the logic has visited in iterations over all hosts that it knows. */
    long hostVisits;

    private Deployment deployment;
    private final TreeMap<Long, Boolean> wakeUps = new TreeMap<>();
    private long nowMs = 1_000_000;
    private int rpcCount;

    LogicFixture(
            StaleReadPolicy staleReadPolicy,
            boolean parallelCallOuts,
            Idempotency writeIdempotency,
            int routerCount) {
        this(staleReadPolicy, parallelCallOuts, writeIdempotency, routerCount, false);
    }

    LogicFixture(
            StaleReadPolicy staleReadPolicy,
            boolean parallelCallOuts,
            Idempotency writeIdempotency,
            int routerCount,
            boolean onlyDrainingStopsSends) {
        List<Method> methods = new ArrayList<>();
        for (Consistency consistency : Consistency.values()) {
            Idempotency idempotency =
                    consistency == Consistency.WRITE ? writeIdempotency : Idempotency.IDEMPOTENT;
            methods.add(
                    new Method(
                            methods.size(),
                            idempotency,
                            consistency,
                            Span.ofMillis(300),
                            Span.ofMillis(500),
                            Span.ofMillis(2_000),
                            consistency == Consistency.WRITE ? 6 : 2,
                            consistency == Consistency.WRITE ? 3 : 0,
                            false,
                            Span.ofMillis(1_000)));
        }
        deployment =
                new Deployment(
                        methods,
                        List.of(new Customer(0, 0)),
                        routerCount,
                        Span.ofMillis(5),
                        staleReadPolicy,
                        true,
                        staleReadPolicy == StaleReadPolicy.REJECT,
                        false,
                        true,
                        parallelCallOuts,
                        6,
                        true,
                        Span.ofMillis(1_000),
                        0.01,
                        0.1,
                        new Moment(0),
                        onlyDrainingStopsSends,
                        0.2,
                        Span.ofMillis(10_000),
                        2,
                        Span.ofMillis(1_000));
        logic = new Logic(deployment, SEED, this, new CountingHosts());
    }

    /** Starts again in a deployment in which the router remembers the sessions' commits. */
    LogicFixture withSessionCommitsTracked() {
        deployment =
                new Deployment(
                        deployment.methods(),
                        deployment.customers(),
                        deployment.routerCount(),
                        deployment.tick(),
                        deployment.staleReadPolicy(),
                        deployment.probesAllowed(),
                        deployment.probesReportPosition(),
                        true,
                        deployment.cancellationAllowed(),
                        deployment.parallelCallOutsAllowed(),
                        deployment.maxCallOuts(),
                        deployment.retryAfterSupported(),
                        deployment.maxRetryAfter(),
                        deployment.probeCost(),
                        deployment.overQuotaUtilityFactor(),
                        deployment.positionEpoch(),
                        deployment.onlyDrainingStopsSends(),
                        deployment.coldStartShare(),
                        deployment.warmUpTime(),
                        deployment.coldRateMultiple(),
                        deployment.coldRateWindow());
        logic = new Logic(deployment, SEED, this, new CountingHosts());
        return this;
    }

    /**
     * Delivers a discovery update. Entries are ids with an optional state, such as {@code a},
     * {@code a:primary}, {@code a:draining}, {@code a:gone} or {@code a:cold}. Ids that start with
     * {@code far} are in another zone, those that start with {@code other} in another group.
     */
    LogicFixture discover(boolean complete, String... entries) {
        List<HostEntry> hostEntries = new ArrayList<>();
        for (String entry : entries) {
            String[] words = (entry + ":ready").split(":");
            DiscoveryState state =
                    words[1].equals("draining")
                            ? DiscoveryState.DRAINING
                            : words[1].equals("gone") ? DiscoveryState.GONE : DiscoveryState.READY;
            Moment startedAt = words[1].equals("cold") ? now() : Moment.NEVER;
            int zone = words[0].startsWith("far") ? 1 : 0;
            int group = words[0].startsWith("other") ? 2 : 1;
            hostEntries.add(
                    new HostEntry(
                            words[0],
                            zone,
                            0,
                            group,
                            state,
                            1,
                            startedAt,
                            words[1].equals("primary")));
        }
        logic.onDiscoveryUpdate(now(), complete, hostEntries);
        logic.onBatchEnd(now());
        return this;
    }

    Moment now() {
        return new Moment(nowMs * 1_000);
    }

    /** Advances the clock and delivers the requested wake-ups. */
    LogicFixture advance(long spanMs) {
        for (long untilMs = nowMs + spanMs; nowMs < untilMs; ) {
            nowMs++;
            if (!wakeUps.isEmpty() && wakeUps.firstKey() <= nowMs * 1_000) {
                wakeUps.pollFirstEntry();
                logic.onBatchEnd(now());
            }
        }
        return this;
    }

    Rpc arrive(int method) {
        return arrive(method, 0);
    }

    Rpc arrive(int method, long tokenAgeMs) {
        return arrive(method, tokenAgeMs, 2_000);
    }

    Rpc arrive(int method, long tokenAgeMs, long clientTimeoutMs) {
        Moment sessionPosition =
                tokenAgeMs == 0 ? Moment.NEVER : now().minus(Span.ofMillis(tokenAgeMs));
        Rpc rpc =
                new Rpc(
                        "r" + rpcCount++,
                        deployment.methods().get(method),
                        deployment.customers().get(0),
                        logic.group(1),
                        session,
                        now(),
                        now().plus(Span.ofMillis(clientTimeoutMs)),
                        sessionPosition,
                        false);
        logic.onRpcArrived(now(), rpc);
        logic.onBatchEnd(now());
        return rpc;
    }

    /** Ends the RPC's latest call-out; a negative age stands for no reported position. */
    LogicFixture endCallOut(Rpc rpc, Outcome outcome, Role role, long positionAgeMs) {
        CallOut callOut = rpc.callOuts.get(rpc.callOuts.size() - 1);
        Moment position =
                positionAgeMs < 0 ? Moment.NEVER : now().minus(Span.ofMillis(positionAgeMs));
        boolean finalAnswerGiven = outcome == Outcome.OK || rpc.state == Rpc.State.DONE;
        logic.onCallOutEnded(
                now(),
                callOut,
                outcome,
                finalAnswerGiven,
                role,
                position,
                now(),
                now().since(callOut.sentAt));
        logic.onBatchEnd(now());
        return this;
    }

    /** Lets other reads arrive and be answered, one after the other, each after 50 ms. */
    LogicFixture serveOthers(long spanMs) {
        return serve((int) (spanMs / 50), ANY, 50);
    }

    /** Lets RPCs of a method arrive one after the other, each answered after this time if sent. */
    LogicFixture serve(int count, int method, long responseTimeMs) {
        for (int i = 0; i < count; i++) {
            Rpc rpc = arrive(method);
            advance(responseTimeMs);
            if (rpc.inFlight > 0) {
                Host host = rpc.callOuts.get(0).host;
                endCallOut(
                        rpc,
                        Outcome.OK,
                        host == host.group.primary ? Role.PRIMARY : Role.REPLICA,
                        0);
            }
        }
        return this;
    }

    Host host(String id) {
        return logic.host(id);
    }

    /** Returns the ids of the hosts of the RPC's call-outs in order, separated by commas. */
    static String hostPath(Rpc rpc) {
        return String.join(",", rpc.callOuts.stream().map(callOut -> callOut.host.id).toList());
    }

    @Override
    public void send(CallOut callOut, Span timeout) {
        actions.add("send " + callOut.rpc.id + " " + callOut.host.id);
    }

    @Override
    public void cancel(CallOut callOut) {
        actions.add("cancel " + callOut.rpc.id);
    }

    @Override
    public void pushBack(Rpc rpc, Span retryAfter) {
        actions.add("push back " + rpc.id);
    }

    @Override
    public void abort(Rpc rpc) {
        actions.add("abort " + rpc.id);
    }

    @Override
    public void probe(Host host) {
        actions.add("probe " + host.id);
    }

    @Override
    public void closeIdleConnections(Host host) {
        actions.add("close " + host.id);
    }

    @Override
    public void wakeAt(Moment when) {
        wakeUps.put(when.us(), true);
    }

    /** Counts visits of hosts in iterations. */
    private final class CountingHosts extends LinkedHashMap<String, Host> {
        private static final long serialVersionUID = 1L;

        @Override
        public Collection<Host> values() {
            Collection<Host> hosts = super.values();
            return new AbstractCollection<>() {
                @Override
                public Iterator<Host> iterator() {
                    Iterator<Host> iterator = hosts.iterator();
                    return new Iterator<>() {
                        @Override
                        public boolean hasNext() {
                            return iterator.hasNext();
                        }

                        @Override
                        public Host next() {
                            hostVisits++;
                            return iterator.next();
                        }

                        @Override
                        public void remove() {
                            iterator.remove();
                        }
                    };
                }

                @Override
                public int size() {
                    return hosts.size();
                }
            };
        }
    }
}
