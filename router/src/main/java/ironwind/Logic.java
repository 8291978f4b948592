package ironwind;

import ironwind.model.*;
import ironwind.model.Deployment.StaleReadPolicy;
import ironwind.model.Rpc.State;
import java.util.*;
import java.util.function.BiConsumer;

/**
 * The routing decisions of one router: whether, when and to which host an RPC is sent, and when it
 * is pushed back or aborted. The caller, which is the simulator's adapter or the real router,
 * creates one instance per router, reports every event of a batch through {@link Inbound} and ends
 * the batch with {@link #onBatchEnd}; the decisions are returned through {@link Outbound}.
 *
 * <p>The only time that it uses is that of the batch, and its only random source is seeded. It is
 * not thread-safe.
 *
 * <p>{@link #chooseHost} chooses hosts by their known log positions (the log-position gate of
 * docs/design.md). Every send passes {@link #gate}, which checks the rules for sends. {@link
 * #TRANSITIONS} is the state machine of an RPC.
 */
public final class Logic implements Inbound {
    /** How long a read waits for an eligible replica before it may go to the primary. */
    private static final Span PRIMARY_FALLBACK_DELAY = Span.ofMillis(20);

    /** How often pending RPCs and busy hosts are checked when no event requires it earlier. */
    private static final Span CHECK_INTERVAL = Span.ofMillis(10);

    /**
     * A host counts as silent once the waiting times of its unanswered call-outs add up to more
     * than this multiple of the mean response time. Idempotent call-outs that can be neither
     * cancelled nor hedged time out after the same multiple.
     */
    private static final double SILENCE_FACTOR = 7;

    /** Shortest time without an answer after which a host counts as silent. */
    private static final Span MIN_SILENCE = Span.ofMillis(150);

    /** Most call-outs whose waiting times are added up; more may be queued at the host. */
    private static final int MAX_SILENCE_SAMPLES = 4;

    /**
     * How long a host that rejects RPCs or answers with errors is ejected, doubled with each
     * ejection in a row. Otherwise its fast responses would make it look idle and attract more
     * RPCs. Cost: a primary that was only overloaded is used again slightly late.
     */
    private static final Span BASE_EJECTION_TIME = Span.ofMillis(20);

    private static final int MAX_EJECTION_DOUBLINGS = 6;

    /**
     * A host is ejected when the probability that its consecutive errors are caused by the RPCs
     * themselves is lower than this.
     */
    private static final double MIN_ERROR_STREAK_PROBABILITY = 0.01;

    /** Multiple of the mean response time after which a trial at a suspect host has failed. */
    private static final double TRIAL_TIMEOUT_FACTOR = 3;

    /** Time between two trials at a suspect host, doubled with each unanswered trial. */
    private static final Span TRIAL_INTERVAL = Span.ofMillis(400);

    private static final int MAX_TRIAL_DOUBLINGS = 3;

    /** A connection attempt that fails faster than this was refused immediately. */
    private static final Span IMMEDIATE_REFUSAL_TIME = Span.ofMillis(20);

    /** How long connections count as scarce after a running host has immediately refused one. */
    private static final Span CONNECTION_SCARCITY_TIME = Span.ofMillis(10_000);

    /**
     * Shortest time between two health probes of a host, and how long a primary counts as missing
     * after an RPC has found none.
     */
    private static final Span HEALTH_PROBE_INTERVAL = Span.ofMillis(250);

    /** Time between two rounds in which probes are sent. */
    private static final Span PROBE_ROUND_INTERVAL = Span.ofMillis(50);

    /**
     * How long a host that reported itself as a replica is left out of the search for a primary.
     */
    private static final Span ROLE_REPORT_TTL = Span.ofMillis(400);

    /** How long the rejection of a read shows that a replica is behind. */
    private static final Span BEHIND_TTL = Span.ofMillis(400);

    /** How long a reported position shows how far a replica is behind. */
    private static final Span POSITION_REPORT_TTL = Span.ofMillis(3_000);

    /**
     * Spending per RPC on probes for log positions, in the unit of {@link Deployment#probeCost()}.
     */
    private static final double POSITION_PROBE_SPENDING_FRACTION = 0.002;

    /** Spending per RPC on probes of suspect hosts and for a missing primary, in the same unit. */
    private static final double HEALTH_PROBE_SPENDING_FRACTION = 0.005;

    private static final double MAX_PROBES_PER_RPC = 0.5;

    /** Most probes that a budget can accumulate. */
    private static final double PROBE_BURST = 10;

    /**
     * Initial concurrency limit of a host. Limits are adapted to the ratio of response times to
     * soft deadlines.
     */
    private static final double INITIAL_LIMIT = 8;

    private static final double MAX_LIMIT = 256;
    private static final double MIN_LIMIT = 1;

    /** Lower bound of a pool's limit: call-outs per host, of all routers together. */
    private static final double MIN_POOL_LIMIT_PER_HOST = 5;

    /** Initial limit of a pool: call-outs per host, of all routers together. */
    private static final double INITIAL_POOL_LIMIT_PER_HOST = 16;

    /** Latency ratio above which a limit is decreased. */
    private static final double HIGH_LATENCY_RATIO = 0.42;

    /** Latency ratio below which a limit that is used up is increased. */
    private static final double LOW_LATENCY_RATIO = 0.32;

    private static final double LIMIT_DECREASE_FACTOR = 0.85;
    private static final double LIMIT_ADDITIVE_INCREASE = 0.5;
    private static final double LIMIT_RELATIVE_INCREASE = 0.08;

    /** Shortest time between two changes of a limit. */
    private static final Span LIMIT_CHANGE_INTERVAL = Span.ofMillis(100);

    /**
     * Fraction of the primary's limit that is open to reads which a replica could serve; the rest
     * is reserved for what only the primary serves.
     */
    private static final double PRIMARY_READ_FRACTION = 0.6;

    /**
     * Time since the previous sample of an average after which a new one would have weight 1 if
     * {@link #MAX_SAMPLE_WEIGHT} did not limit it.
     */
    private static final Span FULL_WEIGHT_TIME = Span.ofMillis(2_000);

    /** Time constant by which the primary's latency ratio loses weight without new samples. */
    private static final Span LATENCY_RATIO_DECAY = Span.ofMillis(60_000);

    private static final double MAX_SAMPLE_WEIGHT = 0.6;

    /**
     * Weight of a sample in averages over many hosts; its minimum in the latency ratios of pools.
     */
    private static final double SMOOTHING = 0.08;

    /** Minimum weight of a sample in averages of a host or zone. */
    private static final double HOST_SMOOTHING = 0.16;

    /** Time constant by which a host's response time loses weight to its zone's. */
    private static final Span RESPONSE_TIME_DECAY = Span.ofMillis(10_000);

    /** How long an RPC over quota stays pending before it is shed, in soft deadlines. */
    private static final double OVER_QUOTA_WAIT = 0.15;

    /**
     * A pending RPC with little late utility is given up when less than its method's mean response
     * time is left until its soft deadline. At most this fraction of the soft deadline is reserved
     * for the response time: otherwise a method that only slow hosts serve would never be sent
     * again, and its response time never be measured again.
     */
    private static final double MAX_RESPONSE_TIME_FRACTION = 0.5;

    /**
     * An RPC whose late utility is a smaller fraction of its utility does not stay pending past its
     * soft deadline, because a late failure costs more than an early one.
     */
    private static final double MIN_LATE_UTILITY_FRACTION = 0.4;

    /**
     * An RPC that was never sent is pushed back before this fraction of the client's time is over,
     * so that the client can retry.
     */
    private static final double UNSENT_WAIT_FRACTION = 0.5;

    /** Fraction of the rate permitted to a cold host that is used, as a safety margin. */
    private static final double COLD_BUDGET_FRACTION = 0.85;

    /** Sends to a cold host that all routers together may always make in a window. */
    private static final double MIN_COLD_SENDS = 3;

    /** Time constant of the rate of RPCs that a host serves. */
    private static final Span RATE_WINDOW = Span.ofMillis(8_000);

    /** Longest retry delay that clients are told for RPCs that are not idempotent. */
    private static final Span MAX_WRITE_RETRY_AFTER = Span.ofMillis(200);

    /** Hosts round the position of a commit up to a multiple of this. */
    private static final Span COMMIT_ROUNDING = Span.ofMillis(1);

    private static final double INITIAL_RESPONSE_TIME_US = 150_000;

    /**
     * Lower bound of the burst of a customer's quota in RPCs: on a router with little traffic, the
     * quota per second is below 1.
     */
    private static final double MIN_QUOTA_BURST = 5;

    /** Events in the life cycle of an RPC. */
    private enum Event {
        ARRIVED,
        /** A periodic check, or one after an event that may have made a host eligible. */
        CHECK,
        SENT,
        OK,
        /** A host served the RPC, but its answer can't be passed on. */
        UNDELIVERABLE,
        /** A call-out failed, and provably did not run. */
        NOT_RUN,
        /** A call-out failed, but may have run. */
        MAY_HAVE_RUN,
        /** No further call-out is possible or worthwhile. */
        UNSERVABLE,
        /** The final answer has already been given, or the client has left. */
        FINISHED
    }

    /** On an event in a state, the state that follows and the action that is then run. */
    private record Transition(State from, Event event, State to, BiConsumer<Logic, Rpc> action) {}

    /** The state machine of an RPC; events without a transition are ignored. */
    private static final Transition[] TRANSITIONS = {
        new Transition(State.PENDING, Event.CHECK, State.PENDING, Logic::sendOrGiveUp),
        new Transition(State.PENDING, Event.ARRIVED, State.PENDING, Logic::admit),
        new Transition(State.PENDING, Event.SENT, State.IN_FLIGHT, (logic, rpc) -> {}),
        new Transition(State.PENDING, Event.UNSERVABLE, State.DONE, Logic::pushBackOrAbort),
        new Transition(State.PENDING, Event.FINISHED, State.DONE, Logic::cancelInFlight),
        new Transition(State.IN_FLIGHT, Event.SENT, State.HEDGED, (logic, rpc) -> {}),
        new Transition(State.IN_FLIGHT, Event.OK, State.DONE, Logic::cancelInFlight),
        new Transition(State.IN_FLIGHT, Event.UNDELIVERABLE, State.DONE, Logic::pushBackOrAbort),
        new Transition(State.IN_FLIGHT, Event.NOT_RUN, State.PENDING, Logic::enqueue),
        new Transition(
                State.IN_FLIGHT, Event.MAY_HAVE_RUN, State.PENDING, Logic::enqueueIfRetryable),
        new Transition(State.IN_FLIGHT, Event.FINISHED, State.DONE, Logic::cancelInFlight),
        new Transition(State.HEDGED, Event.OK, State.DONE, Logic::cancelInFlight),
        new Transition(State.HEDGED, Event.UNDELIVERABLE, State.IN_FLIGHT, (logic, rpc) -> {}),
        new Transition(State.HEDGED, Event.NOT_RUN, State.IN_FLIGHT, (logic, rpc) -> {}),
        new Transition(State.HEDGED, Event.MAY_HAVE_RUN, State.IN_FLIGHT, (logic, rpc) -> {}),
        new Transition(State.HEDGED, Event.FINISHED, State.DONE, Logic::cancelInFlight),
    };

    private final Deployment deployment;
    private final SplittableRandom random;
    private final Outbound outbound;
    private final Map<String, Host> hosts;
    private final PrimaryRoles roles = new PrimaryRoles();
    private final Map<Integer, Group> groups = new TreeMap<>();
    private final Map<Integer, MovingAverage> zoneResponseTimes = new TreeMap<>();

    /** Cache of {@link #warmRate} by kind of host; null until first used after a check. */
    private Map<Integer, Double> warmRates;

    /** RPCs without a call-out in flight. */
    private final List<Rpc> pending = new ArrayList<>();

    /** Hosts with call-outs in flight; a router with little traffic has few. */
    private final List<Host> busyHosts = new ArrayList<>();

    /**
     * A replica whose known position is older than this is probed: half the smallest staleness
     * bound, or 500 ms if no method has one.
     */
    private final Span positionProbeAge;

    /** Mean response times by method, in microseconds. */
    private final double[] responseTimeUs;

    /**
     * Mean response times by method while the pool's latency ratio was low, in microseconds: an
     * estimate of the work without queueing.
     */
    private final double[] unloadedResponseTimeUs;

    /** This router's share of the quotas, by customer. */
    private final List<TokenBucket> quotas = new ArrayList<>();

    private double overallResponseTimeUs = INITIAL_RESPONSE_TIME_US;

    /**
     * Smoothed share of errors among answers. Overload rejections and the further errors of an RPC
     * that has failed before do not count.
     */
    private double errorRate;

    private final TokenBucket positionProbeBudget = new TokenBucket(0);
    private final TokenBucket healthProbeBudget = new TokenBucket(PROBE_BURST);
    private Moment now = Moment.NEVER;
    private Moment startedAt = Moment.NEVER;
    private Moment bucketsRefilledAt = Moment.NEVER;
    private Moment nextCheckAt = Moment.NEVER;
    private Moment nextProbeRoundAt = Moment.NEVER;
    private Moment wakeRequestedFor = Moment.NEVER;
    private Moment connectionsScarceUntil = Moment.NEVER;

    /** Whether an event since the last check may have made a pending RPC servable. */
    private boolean checkNeeded;

    /**
     * Creates the logic of one router.
     *
     * @param seed seed of all random choices
     * @param outbound receives the decisions, also during the calls that report events
     */
    public Logic(Deployment deployment, long seed, Outbound outbound) {
        this(deployment, seed, outbound, new LinkedHashMap<>());
    }

    /**
     * Creates the logic of one router with a given map of hosts, so that tests can count visits.
     *
     * @param hosts an empty map that iterates in insertion order
     */
    Logic(Deployment deployment, long seed, Outbound outbound, Map<String, Host> hosts) {
        this.deployment = deployment;
        this.hosts = hosts;
        this.random = new SplittableRandom(seed);
        this.outbound = outbound;
        this.responseTimeUs = new double[deployment.methods().size()];
        Arrays.fill(responseTimeUs, INITIAL_RESPONSE_TIME_US);
        this.unloadedResponseTimeUs = responseTimeUs.clone();
        for (Customer customer : deployment.customers()) {
            quotas.add(
                    new TokenBucket(
                            Math.max(
                                    MIN_QUOTA_BURST,
                                    customer.quotaPerSecond() / deployment.routerCount())));
        }
        this.positionProbeAge =
                deployment.methods().stream()
                        .filter(m -> m.consistency() == Consistency.BOUNDED)
                        .map(Method::maxStaleness)
                        .min(Comparator.naturalOrder())
                        .orElse(Span.ofMillis(1_000))
                        .times(0.5);
    }

    // ---- discovery

    @Override
    public void onDiscoveryUpdate(Moment time, boolean complete, List<HostEntry> entries) {
        now = time;
        startedAt = startedAt.us() == Moment.NEVER.us() ? now : startedAt;
        checkNeeded = true;
        Set<Host> absent = complete ? new LinkedHashSet<>(hosts.values()) : new LinkedHashSet<>();
        for (HostEntry entry : entries) {
            Host host = hosts.computeIfAbsent(entry.id(), Host::new);
            absent.remove(host);
            if (host.group == null) {
                host.concurrency.limit = INITIAL_LIMIT;
                host.group = groups.computeIfAbsent(entry.group(), Group::new);
                host.group.members.add(host);
                host.group.members.sort(Comparator.comparing(h -> h.id));
                host.group.replicaPool.limit = initialPoolLimit(host.group.members.size());
                roles.onAdded(host);
            }
            host.zoneResponseTimeUs =
                    zoneResponseTimes.computeIfAbsent(
                            entry.zone(), zone -> new MovingAverage(overallResponseTimeUs));
            host.kind = entry.kind();
            host.weight = entry.weight() > 0 ? entry.weight() : 1;
            updateDiscoveryState(host, entry.discoveryState());
            if (entry.startedAt().after(host.startedAt)) {
                hostRestarted(host, entry.startedAt());
            }
            applyListedRole(host, entry.primary());
        }
        absent.forEach(host -> updateDiscoveryState(host, Host.DiscoveryState.GONE));
        hosts.values().removeIf(this::removeIfGone);
    }

    /**
     * Removes a host from its group if it is gone, has no call-outs in flight, and is suspect or
     * accepts no sends; returns whether it did. Guards against unbounded growth when discovery
     * keeps naming new hosts.
     */
    private boolean removeIfGone(Host host) {
        boolean unavailable =
                host.discoveryState == Host.DiscoveryState.GONE
                        && (host.suspect || !acceptsSends(host));
        boolean removed = unavailable && host.inFlight.isEmpty() && host.group.members.remove(host);
        if (removed) {
            roles.onRemoved(host);
        }
        return removed;
    }

    private void updateDiscoveryState(Host host, Host.DiscoveryState state) {
        host.discoveryState = state;
        host.seenDraining =
                state == Host.DiscoveryState.DRAINING
                        || host.seenDraining && state != Host.DiscoveryState.READY;
    }

    private void hostRestarted(Host host, Moment startedAt) {
        host.startedAt = startedAt;
        host.coldPhase = random.nextDouble();
        host.concurrency.limit = INITIAL_LIMIT / 2;
        if (host.suspect && startedAt.after(host.suspectSince)) {
            clearSuspicion(host);
        }
    }

    private void applyListedRole(Host host, boolean primary) {
        Host believed = host.group.primary;
        boolean usablePrimaryKnown =
                believed != null && !believed.suspect && acceptsSends(believed);
        if (roles.onListed(host, primary, usablePrimaryKnown, now)) {
            primaryChanged(host.group);
        }
    }

    private void primaryChanged(Group group) {
        // The limit that the previous primary was reduced to says nothing about the new one.
        checkNeeded = true;
        group.primaryPool = new ConcurrencyLimit(initialPoolLimit(1));
    }

    // ---- answers

    private void applyReportedRole(Host host, Role role, Moment reportedAt) {
        if (roles.onReport(host, role, reportedAt)) {
            primaryChanged(host.group);
        }
    }

    @Override
    public void onProbeEnded(Moment time, Host host, boolean answered, Role role, Moment position) {
        now = time;
        host.probeInFlight = false;
        host.lastProbeAnswered = answered;
        host.refusalUnexplained &= answered;
        if (!answered) {
            host.unansweredTrials = Math.max(1, host.unansweredTrials);
            return;
        }
        if (host.refusalUnexplained) {
            // The host runs, but refused a connection; a host that was down would have failed the
            // probe. Guards against a host whose connections are all taken by idle ones of many
            // routers: each router closes its own. Cost: more handshakes.
            host.refusalUnexplained = false;
            connectionsScarceUntil = now.plus(CONNECTION_SCARCITY_TIME);
            clearSuspicion(host);
        }
        if (position.after(Moment.NEVER)) {
            host.position = host.position.later(position);
            host.positionReportedAt = now;
            host.lag = now.since(position);
            host.group.minLag =
                    host.group.members.stream()
                            .filter(
                                    h ->
                                            now.since(h.positionReportedAt)
                                                    .shorterThan(POSITION_REPORT_TTL))
                            .map(h -> h.lag)
                            .min(Comparator.naturalOrder())
                            .orElse(Span.ZERO);
            // A report is no older than its position. Dated by that, a delayed report does not
            // override a newer answer.
            applyReportedRole(host, role, position);
            checkNeeded = true;
        }
    }

    @Override
    public void onCallOutEnded(
            Moment time,
            CallOut callOut,
            Outcome outcome,
            boolean finalAnswerGiven,
            Role role,
            Moment position,
            Moment answeredAt,
            Span took) {
        now = time;
        checkNeeded = true;
        Rpc rpc = callOut.rpc;
        Host host = callOut.host;
        callOut.ended = true;
        host.inFlight.remove(callOut);
        if (host.inFlight.isEmpty()) {
            busyHosts.remove(host);
        }
        rpc.inFlight--;
        if (!outcome.provesNotRun && rpc.firstPossibleRunAt == null) {
            rpc.firstPossibleRunAt = callOut.sentAt;
        }
        if (outcome.answered) {
            recordAnswer(callOut, outcome, position, took);
            applyReportedRole(host, role, answeredAt);
        } else if (outcome == Outcome.CONNECT_FAILED
                && !host.lastUsefulAnswerAt.after(callOut.sentAt)) {
            // If the host has answered on another connection since, only this connection failed.
            host.refusalUnexplained = took.shorterThan(IMMEDIATE_REFUSAL_TIME);
            markSuspect(host);
            if (host.refusalUnexplained && healthProbeBudget.tryTake()) {
                probe(host);
            }
        } else if (outcome == Outcome.TIMED_OUT) {
            recordLatencyRatio(callOut, took.ratioTo(rpc.method.softDeadline()));
        }
        releasePoolSlot(callOut, took);
        if (now.before(connectionsScarceUntil) && host.inFlight.isEmpty()) {
            outbound.closeIdleConnections(host);
        }
        handle(rpc, eventOf(outcome, finalAnswerGiven));
    }

    private static Event eventOf(Outcome outcome, boolean finalAnswerGiven) {
        if (outcome == Outcome.OK) {
            return Event.OK;
        } else if (finalAnswerGiven) {
            return Event.FINISHED;
        } else if (outcome == Outcome.UNDELIVERABLE) {
            return Event.UNDELIVERABLE;
        }
        return outcome.provesNotRun ? Event.NOT_RUN : Event.MAY_HAVE_RUN;
    }

    /**
     * Releases a call-out's slot in its pool. A pool with a limit below 1 then stays closed for a
     * time proportional to the call-out's, so that its mean concurrency matches the limit.
     */
    private void releasePoolSlot(CallOut callOut, Span took) {
        ConcurrencyLimit pool = callOut.pool;
        if (!callOut.releasedFromPool) {
            pool.inFlight--;
            Span occupied =
                    took.longer(callOut.overdue ? callOut.rpc.method.softDeadline() : Span.ZERO);
            pool.availableAt =
                    pool.availableAt.later(
                            now.plus(occupied.times(Math.max(0, 1 / pool.limit - 1))));
        }
    }

    private void recordAnswer(CallOut callOut, Outcome outcome, Moment position, Span took) {
        Rpc rpc = callOut.rpc;
        Host host = callOut.host;
        Consistency consistency = rpc.method.consistency();
        if (outcome == Outcome.OVERLOADED) {
            // Not a sign of health: a hung host with a full queue also rejects RPCs.
            eject(host);
            host.concurrency.limit =
                    Math.max(
                            MIN_LIMIT,
                            Math.min(host.concurrency.limit, host.inFlight.size())
                                    * LIMIT_DECREASE_FACTOR);
            callOut.overdue = true;
            recordLatencyRatio(callOut, 1);
        } else if (outcome == Outcome.ERROR) {
            recordError(rpc, host);
        } else {
            errorRate -= SMOOTHING * errorRate;
            host.lastUsefulAnswerAt = now;
            host.refusalUnexplained = false;
            host.consecutiveEjections = 0;
            host.consecutiveErrors = 0;
            if (host.suspect) {
                clearSuspicion(host);
            }
        }
        boolean committed = outcome.served() && consistency == Consistency.WRITE;
        if (position.after(Moment.NEVER)) {
            // The host rounds the position of a commit up; only the rounded-down one is certain.
            host.position =
                    host.position.later(committed ? position.minus(COMMIT_ROUNDING) : position);
        }
        if (committed && deployment.sessionCommitsTracked()) {
            // Without a reported position, the commit is no later than its answer.
            rpc.group.sessionCommits.record(
                    rpc.session, position.after(Moment.NEVER) ? position : now);
        }
        if (consistency != Consistency.WRITE
                && deployment.staleReadPolicy() == StaleReadPolicy.REJECT) {
            if (outcome.served()) {
                host.position = host.position.later(callOut.checkedPosition);
                if (!callOut.checkedPosition.before(host.behindPosition)) {
                    host.behindAt = Moment.NEVER;
                }
            } else if (outcome == Outcome.INELIGIBLE) {
                host.behindAt = now;
                host.behindPosition = callOut.checkedPosition;
                rpc.rejectedAsBehind = true;
            }
        }
        if (outcome.served()) {
            host.recentOkCount.value =
                    1 + host.recentOkCount.value * decay(host.recentOkCount, RATE_WINDOW);
            host.recentOkCount.updatedAt = now;
            recordResponseTime(callOut, took);
        }
    }

    private void eject(Host host) {
        host.ejectedUntil =
                now.plus(
                        BASE_EJECTION_TIME.times(
                                1
                                        << Math.min(
                                                MAX_EJECTION_DOUBLINGS,
                                                host.consecutiveEjections++)));
    }

    /**
     * Distinguishes RPCs that fail on any host from hosts that fail any RPC. A host is ejected only
     * for consecutive errors that the overall error rate does not explain, and an RPC that failed
     * on two hosts is considered the cause itself. Guards against floods of bad RPCs that would
     * eject every host. Cost: while many RPCs fail, a host that fails all of them is ejected later.
     */
    private void recordError(Rpc rpc, Host host) {
        if (rpc.lastErrorHost == null) {
            errorRate += SMOOTHING * (1 - errorRate);
        }
        rpc.erredOnTwoHosts = rpc.lastErrorHost != null && rpc.lastErrorHost != host;
        rpc.lastErrorHost = host;
        boolean chargedToQuota = rpc.customer != null && !rpc.overQuota && !rpc.clientRetry;
        if (chargedToQuota
                && (rpc.erredOnTwoHosts
                        || rpc.method.idempotency() == Idempotency.NON_IDEMPOTENT)) {
            // Refunds the quota of an RPC that fails on any host, or that may not be retried.
            quotas.get(rpc.customer.index()).refill(1, Double.MAX_VALUE);
        }
        if (Math.pow(errorRate, ++host.consecutiveErrors) < MIN_ERROR_STREAK_PROBABILITY) {
            eject(host);
        }
    }

    private void recordResponseTime(CallOut callOut, Span took) {
        Host host = callOut.host;
        Method method = callOut.rpc.method;
        double us = took.us();
        overallResponseTimeUs += SMOOTHING * (us - overallResponseTimeUs);
        responseTimeUs[method.index()] += SMOOTHING * (us - responseTimeUs[method.index()]);
        if (callOut.pool.latencyRatio.value < LOW_LATENCY_RATIO) {
            unloadedResponseTimeUs[method.index()] +=
                    SMOOTHING * (us - unloadedResponseTimeUs[method.index()]);
        }
        // A router with little traffic gets samples for a zone far more often than for a host.
        addSample(host.zoneResponseTimeUs, us, HOST_SMOOTHING);
        addSample(host.responseTimeUs, us, HOST_SMOOTHING);
        recordLatencyRatio(callOut, took.ratioTo(method.softDeadline()));
    }

    /**
     * Returns the expected response time of a host: its own mean, which gives way to its zone's as
     * its last sample ages.
     */
    private double expectedResponseTimeUs(Host host) {
        double weight = decay(host.responseTimeUs, RESPONSE_TIME_DECAY);
        return weight * host.responseTimeUs.value + (1 - weight) * host.zoneResponseTimeUs.value;
    }

    /** Returns the remaining weight of an average: 1 at its last sample, then decaying. */
    private double decay(MovingAverage average, Span timeConstant) {
        return Math.exp(-now.since(average.updatedAt).ratioTo(timeConstant));
    }

    /**
     * Adds a sample to an average and returns its weight. The weight grows with the time since the
     * previous sample, so that routers with little traffic adapt, and reduce load, as fast as
     * others.
     */
    private double addSample(MovingAverage average, double sample, double minWeight) {
        double weight =
                Math.max(
                        minWeight,
                        Math.min(
                                MAX_SAMPLE_WEIGHT,
                                now.since(average.updatedAt).ratioTo(FULL_WEIGHT_TIME)));
        average.value += weight * (sample - average.value);
        average.updatedAt = now;
        return weight;
    }

    /** Adapts the limits of a call-out's host and pool to a sample of the latency ratio. */
    private void recordLatencyRatio(CallOut callOut, double ratio) {
        adjustLimit(
                callOut.host.concurrency,
                ratio,
                HOST_SMOOTHING,
                callOut.host.inFlight.size(),
                MIN_LIMIT);
        adjustLimit(
                callOut.pool,
                ratio,
                SMOOTHING,
                callOut.pool.inFlight,
                minPoolLimit(callOut.pool, callOut.host.group));
    }

    /**
     * Adapts the limit on concurrent call-outs to the ratio of response times to soft deadlines.
     */
    private void adjustLimit(
            ConcurrencyLimit concurrency,
            double ratio,
            double smoothing,
            int inFlight,
            double minLimit) {
        double weight = addSample(concurrency.latencyRatio, ratio, smoothing);
        if (now.since(concurrency.changedAt).shorterThan(LIMIT_CHANGE_INTERVAL)) {
            return;
        }
        if (concurrency.latencyRatio.value > HIGH_LATENCY_RATIO) {
            concurrency.limit =
                    Math.max(
                            minLimit,
                            Math.min(concurrency.limit, inFlight + 1)
                                    * Math.min(LIMIT_DECREASE_FACTOR, 1 - weight));
            concurrency.changedAt = now;
        } else if (concurrency.latencyRatio.value < LOW_LATENCY_RATIO
                && inFlight + 1 >= concurrency.limit) {
            double headroom = 1 - concurrency.latencyRatio.value / LOW_LATENCY_RATIO;
            concurrency.limit =
                    Math.min(
                            MAX_LIMIT,
                            concurrency.limit * (1 + LIMIT_RELATIVE_INCREASE * headroom)
                                    + LIMIT_ADDITIVE_INCREASE * Math.min(1, concurrency.limit));
            concurrency.changedAt = now;
        }
    }

    /**
     * Returns this router's share of the few concurrent call-outs that every host can process
     * without delay.
     */
    private double minPoolLimit(ConcurrencyLimit pool, Group group) {
        long count =
                group.members.stream()
                        .filter(host -> acceptsSends(host) && !host.suspect && poolOf(host) == pool)
                        .count();
        return MIN_POOL_LIMIT_PER_HOST * Math.max(1, count) / deployment.routerCount();
    }

    private double initialPoolLimit(int hostCount) {
        return Math.max(1, INITIAL_POOL_LIMIT_PER_HOST * hostCount / deployment.routerCount());
    }

    private boolean hasCapacity(Host host) {
        ConcurrencyLimit pool = poolOf(host);
        return host.inFlight.size() < host.concurrency.limit
                && pool.inFlight < pool.limit
                && !now.before(pool.availableAt);
    }

    private ConcurrencyLimit poolOf(Host host) {
        return host == host.group.primary ? host.group.primaryPool : host.group.replicaPool;
    }

    /** Counts call-outs that pass their soft deadline as slow without waiting for their answers. */
    private void markOverdue(Host host) {
        for (CallOut callOut : host.inFlight) {
            Span waited = now.since(callOut.sentAt);
            if (!callOut.overdue
                    && !host.suspect
                    && waited.longerThan(callOut.rpc.method.softDeadline())) {
                callOut.overdue = true;
                recordLatencyRatio(callOut, 1);
                addSample(host.zoneResponseTimeUs, waited.us(), HOST_SMOOTHING);
            }
        }
    }

    // ---- suspect hosts

    /**
     * Marks a host as suspect that has been silent for too long, and retries trials that a suspect
     * host does not answer. Guards against hosts that accept RPCs but answer none, whether they
     * hang or are unreachable. The more call-outs wait, the sooner that is detected. Cost: a host
     * in a long pause loses its traffic for a moment.
     */
    private void checkSilence(Host host) {
        double totalWaitUs = 0;
        Moment silentSince = host.inFlight.get(0).sentAt.later(host.lastUsefulAnswerAt);
        for (int i = 0; i < Math.min(MAX_SILENCE_SAMPLES, host.inFlight.size()); i++) {
            totalWaitUs +=
                    now.since(host.inFlight.get(i).sentAt.later(host.lastUsefulAnswerAt)).us();
        }
        double meanUs =
                Math.max(
                        overallResponseTimeUs,
                        Math.max(host.zoneResponseTimeUs.value, host.responseTimeUs.value));
        if (!host.suspect
                && totalWaitUs > SILENCE_FACTOR * meanUs
                && now.since(silentSince).longerThan(MIN_SILENCE)) {
            markSuspect(host);
        } else if (host.suspect) {
            for (CallOut trial : new ArrayList<>(host.inFlight)) {
                if (!trial.cancelled
                        && now.since(trial.sentAt).us() > TRIAL_TIMEOUT_FACTOR * meanUs) {
                    retryElsewhere(trial);
                }
            }
        }
    }

    private void markSuspect(Host host) {
        host.unansweredTrials = host.suspect ? host.unansweredTrials + 1 : 0;
        if (!host.suspect) {
            host.suspect = true;
            host.suspectSince = now;
            host.lastProbeAnswered = !deployment.probesAllowed();
        }
        scheduleTrial(host);
        checkNeeded = true;
        for (CallOut callOut : new ArrayList<>(host.inFlight)) {
            // Call-outs stuck at this host must not use up the pool's limit for the others.
            callOut.pool.inFlight -= callOut.releasedFromPool ? 0 : 1;
            callOut.releasedFromPool = true;
            retryElsewhere(callOut);
        }
    }

    private void scheduleTrial(Host host) {
        host.nextTrialAt =
                now.plus(
                        TRIAL_INTERVAL.times(
                                1 << Math.min(MAX_TRIAL_DOUBLINGS, host.unansweredTrials)));
    }

    private void clearSuspicion(Host host) {
        host.suspect = false;
        host.unansweredTrials = 0;
    }

    /**
     * Retries an idempotent RPC on another host: in parallel where that is allowed, otherwise by
     * cancelling the call-out, whose end makes the RPC pending again.
     */
    private void retryElsewhere(CallOut callOut) {
        Rpc rpc = callOut.rpc;
        if (rpc.state != State.IN_FLIGHT
                || rpc.method.idempotency() != Idempotency.IDEMPOTENT
                || callOut.cancelled) {
            return;
        }
        if (deployment.parallelCallOutsAllowed()) {
            Host other = chooseHost(rpc);
            if (other != null) {
                send(rpc, other);
            }
        } else if (deployment.cancellationAllowed()) {
            callOut.cancelled = true;
            outbound.cancel(callOut);
        }
    }

    /**
     * Whether an RPC may be sent to a suspect host as a trial. A host that has answered a probe, or
     * that may not be probed, gets one idempotent RPC per trial interval, which must not have been
     * sent before.
     */
    private boolean trialDue(Host host, Rpc rpc) {
        return rpc.method.idempotency() == Idempotency.IDEMPOTENT
                && rpc.callOuts.isEmpty()
                && host.lastProbeAnswered
                && !now.before(host.nextTrialAt);
    }

    // ---- RPCs

    @Override
    public void onRpcArrived(Moment time, Rpc rpc) {
        now = time;
        handle(rpc, Event.ARRIVED);
    }

    @Override
    public void onClientLeft(Moment time, Rpc rpc) {
        now = time;
        handle(rpc, Event.FINISHED);
    }

    private void handle(Rpc rpc, Event event) {
        for (Transition transition : TRANSITIONS) {
            if (transition.from == rpc.state && transition.event == event) {
                rpc.state = transition.to;
                transition.action.accept(this, rpc);
                return;
            }
        }
    }

    private void enqueue(Rpc rpc) {
        pending.add(rpc);
        checkNeeded = true;
    }

    /**
     * Charges an arriving RPC, unless it is a client's retry, to its customer's quota, adds to the
     * probe budgets, and makes the RPC pending or rejects it.
     */
    private void admit(Rpc rpc) {
        if (rpc.customer != null && rpc.customer.quotaPerSecond() > 0) {
            TokenBucket quota = quotas.get(rpc.customer.index());
            rpc.overQuota = rpc.clientRetry ? quota.isEmpty() : !quota.tryTake();
        }
        positionProbeBudget.refill(
                Math.min(
                        MAX_PROBES_PER_RPC,
                        POSITION_PROBE_SPENDING_FRACTION / deployment.probeCost()),
                PROBE_BURST);
        healthProbeBudget.refill(
                Math.min(
                        MAX_PROBES_PER_RPC,
                        HEALTH_PROBE_SPENDING_FRACTION / deployment.probeCost()),
                PROBE_BURST);
        if (!rpc.group.used) {
            rpc.group.used = true;
            if (deployment.probesReportPosition()) {
                rpc.group.members.forEach(this::probe);
            }
        }
        if (rpc.rejectOnArrival) {
            handle(rpc, Event.UNSERVABLE);
        } else {
            enqueue(rpc);
        }
    }

    private void enqueueIfRetryable(Rpc rpc) {
        if (rpc.method.idempotency() == Idempotency.NON_IDEMPOTENT
                || !mayRunAgain(rpc)
                || !now.before(rpc.deadline)
                || rpc.erredOnTwoHosts) {
            handle(rpc, Event.UNSERVABLE);
        } else {
            enqueue(rpc);
        }
    }

    /** Cancels the call-outs of an idempotent RPC whose answers are no longer needed. */
    private void cancelInFlight(Rpc rpc) {
        for (CallOut callOut : rpc.callOuts) {
            if (!callOut.ended
                    && !callOut.cancelled
                    && deployment.cancellationAllowed()
                    && rpc.method.idempotency() == Idempotency.IDEMPOTENT) {
                callOut.cancelled = true;
                outbound.cancel(callOut);
            }
        }
    }

    private void pushBackOrAbort(Rpc rpc) {
        if (!mayPushBack(rpc)) {
            outbound.abort(rpc);
        } else {
            Span retryAfter =
                    deployment.retryAfterSupported() ? deployment.maxRetryAfter() : Span.ZERO;
            boolean capped = rpc.method.idempotency() != Idempotency.IDEMPOTENT;
            outbound.pushBack(rpc, capped ? retryAfter.shorter(MAX_WRITE_RETRY_AFTER) : retryAfter);
        }
    }

    /** Rule 2, for answers: pushing back tells the client that a retry is safe. */
    private boolean mayPushBack(Rpc rpc) {
        return rpc.inFlight == 0
                && switch (rpc.method.idempotency()) {
                    case IDEMPOTENT -> true;
                    case TOKENED -> rpc.firstPossibleRunAt == null || rpc.method.globalTokenScope();
                    case NON_IDEMPOTENT -> rpc.firstPossibleRunAt == null;
                };
    }

    /** Returns the utility of answering an RPC now. */
    private double currentUtility(Rpc rpc) {
        boolean late = now.since(rpc.arrivedAt).longerThan(rpc.method.softDeadline());
        return (late ? rpc.method.lateUtility() : rpc.method.utility())
                * (rpc.overQuota ? deployment.overQuotaUtilityFactor() : 1);
    }

    /**
     * Sends a pending RPC if a host is eligible; gives it up once waiting is no longer worthwhile.
     */
    private void sendOrGiveUp(Rpc rpc) {
        Host host = chooseHost(rpc);
        if (host != null && send(rpc, host)) {
            return;
        }
        Method method = rpc.method;
        Span meanResponseTime = new Span((long) responseTimeUs[method.index()]);
        Span usefulWait =
                method.softDeadline()
                        .minus(
                                meanResponseTime.shorter(
                                        method.softDeadline().times(MAX_RESPONSE_TIME_FRACTION)));
        Span maxUnsentWait =
                rpc.deadline
                        .since(rpc.arrivedAt)
                        .times(UNSENT_WAIT_FRACTION)
                        .minus(CHECK_INTERVAL.times(2));
        Span waited = now.since(rpc.arrivedAt);
        boolean unsentTooLong = rpc.callOuts.isEmpty() && !waited.shorterThan(maxUnsentWait);
        boolean tooLate =
                method.lateUtility() < MIN_LATE_UTILITY_FRACTION * method.utility()
                        && !waited.shorterThan(usefulWait);
        boolean shedOverQuota =
                rpc.overQuota && waited.ratioTo(method.softDeadline()) > OVER_QUOTA_WAIT;
        if (mustAnswerNow(rpc) || unsentTooLong || tooLate || shedOverQuota && mayPushBack(rpc)) {
            handle(rpc, Event.UNSERVABLE);
        }
    }

    /** Whether an RPC is so close to its deadline that it must be answered in this batch. */
    private boolean mustAnswerNow(Rpc rpc) {
        return !now.before(rpc.deadline.minus(deployment.tick().times(2)));
    }

    /**
     * Whether a pending RPC must be answered in this batch. Guards against answers after the
     * deadline when no check is due before it.
     */
    private boolean anyMustAnswerNow() {
        for (Rpc rpc : pending) {
            if (mustAnswerNow(rpc)) {
                return true;
            }
        }
        return false;
    }

    // ---- choice of a host

    /** Returns the log position that a host must have applied to serve a read sent at this time. */
    private Moment requiredPosition(Rpc rpc, Moment sentAt) {
        return switch (rpc.method.consistency()) {
            case STRONG, WRITE -> rpc.arrivedAt;
            case BOUNDED -> sentAt.minus(rpc.method.maxStaleness());
            case SESSION ->
                    deployment.sessionCommitsTracked()
                            ? rpc.group.sessionCommits.requiredFor(rpc.session)
                            : rpc.sessionPosition;
            case ANY -> Moment.NEVER;
        };
    }

    /**
     * Returns the log position that a host which rejects stale reads is known to check for an RPC
     * that is sent now: the required one, unless that stands for commits that were forgotten.
     */
    private Moment checkedPosition(Rpc rpc) {
        return rpc.method.consistency() == Consistency.SESSION && deployment.sessionCommitsTracked()
                ? rpc.group.sessionCommits.rememberedFor(rpc.session)
                : requiredPosition(rpc, now);
    }

    /**
     * Returns the host to send an RPC to, or null if none is eligible now. Writes and strong reads
     * go to the primary, other reads to a replica that is known to have applied the required
     * position. Where hosts reject reads that they are too far behind for, replicas not known to be
     * behind come next. The primary is the last choice, after a delay or a rejection.
     */
    private Host chooseHost(Rpc rpc) {
        if (primaryOnly(rpc.method)) {
            return choosePrimary(rpc);
        }
        Moment required = requiredPosition(rpc, now);
        Group group = rpc.group;
        boolean hostsReject = deployment.staleReadPolicy() == StaleReadPolicy.REJECT;
        if (group.primary != null && group.primary.suspect && isEligible(rpc, group.primary)) {
            // A trial, as for a suspect replica. Writes cannot be trials, and it may take long
            // until a read needs the primary.
            return group.primary;
        }
        Host replica = chooseReplica(rpc, required, false);
        if (replica == null && hostsReject && required.after(Moment.NEVER)) {
            replica = chooseReplica(rpc, required, true);
        }
        if (replica != null) {
            return replica;
        }
        boolean fallbackDue =
                hostsReject && rpc.rejectedAsBehind
                        || !now.since(rpc.arrivedAt).shorterThan(PRIMARY_FALLBACK_DELAY);
        return fallbackDue
                        && group.primary != null
                        && primaryHasCapacityFor(rpc)
                        && isEligible(rpc, group.primary)
                ? group.primary
                : null;
    }

    /**
     * Whether the primary has capacity for a read in addition to what only it can serve. If the
     * share for reads is below one call-out, the latency ratio decides instead, because the small
     * shares of many routers would add up to an overloaded primary; reads with less utility per
     * unit of work are stopped earlier. The ratio decays, so that a primary without writes is tried
     * again.
     */
    private boolean primaryHasCapacityFor(Rpc rpc) {
        ConcurrencyLimit pool = rpc.group.primaryPool;
        double readLimit =
                PRIMARY_READ_FRACTION * Math.min(pool.limit, rpc.group.primary.concurrency.limit);
        double latencyRatio =
                pool.latencyRatio.value * decay(pool.latencyRatio, LATENCY_RATIO_DECAY);
        double highestUtilityRate = utilityRate(rpc.method);
        for (Method method : deployment.methods()) {
            highestUtilityRate =
                    primaryOnly(method)
                            ? Math.max(highestUtilityRate, utilityRate(method))
                            : highestUtilityRate;
        }
        return rpc.group.primary.inFlight.size() < Math.max(1, readLimit)
                && (readLimit >= 1
                        || latencyRatio
                                        * Math.min(
                                                1,
                                                2
                                                        * (1
                                                                - utilityRate(rpc.method)
                                                                        / highestUtilityRate))
                                < HIGH_LATENCY_RATIO);
    }

    private static boolean primaryOnly(Method method) {
        return method.consistency() == Consistency.WRITE
                || method.consistency() == Consistency.STRONG;
    }

    /** Returns the utility of a method per microsecond of work. */
    private double utilityRate(Method method) {
        return method.utility() / unloadedResponseTimeUs[method.index()];
    }

    /**
     * Returns the eligible replica with the fewest of this router's call-outs in flight, or null. A
     * suspect replica that is due for a trial comes first.
     *
     * @param assumeCaughtUp whether to include all replicas that are not known to be behind and
     *     were not tried for this RPC, instead of only those known to have applied the position.
     *     They count as equal, so that the most advanced one is not overloaded. Cost: a replica
     *     that catches up is used slightly late.
     */
    private Host chooseReplica(Rpc rpc, Moment required, boolean assumeCaughtUp) {
        Host best = null;
        double totalWeight = 0;
        for (Host host : rpc.group.members) {
            boolean caughtUp =
                    assumeCaughtUp
                            ? !isBehind(host, required) && !alreadyTried(rpc, host)
                            : !host.position.before(required);
            if (host == rpc.group.primary
                    || host == rpc.lastErrorHost
                    || !caughtUp
                    || !isEligible(rpc, host)) {
                continue;
            }
            if (host.suspect) {
                return host;
            }
            int order =
                    best == null ? -1 : Integer.compare(host.inFlight.size(), best.inFlight.size());
            totalWeight = (order < 0 ? 0 : totalWeight) + (order <= 0 ? selectionWeight(host) : 0);
            if (order < 0
                    || order == 0 && random.nextDouble() * totalWeight < selectionWeight(host)) {
                best = host;
            }
        }
        return best;
    }

    /**
     * Returns a host's weight in the random choice between hosts with equally many call-outs in
     * flight. Faster hosts weigh more: a router with little traffic has mostly ties, and would
     * otherwise load slow and fast hosts alike.
     */
    private double selectionWeight(Host host) {
        double relativeSpeed = overallResponseTimeUs / expectedResponseTimeUs(host);
        return relativeSpeed * relativeSpeed * relativeSpeed * relativeSpeed;
    }

    /**
     * Whether a replica would reject a read as too far behind: it recently rejected one, or its
     * reported lag exceeds the group's smallest by too much. The smallest lag is subtracted because
     * delayed reports make all replicas look equally far behind.
     */
    private boolean isBehind(Host host, Moment required) {
        boolean rejectedRecently =
                !required.before(host.behindPosition)
                        && now.since(host.behindAt).shorterThan(BEHIND_TTL);
        boolean lagging =
                now.since(host.positionReportedAt).shorterThan(POSITION_REPORT_TTL)
                        && now.minus(host.lag.minus(host.group.minLag)).before(required);
        return rejectedRecently || lagging;
    }

    private static boolean alreadyTried(Rpc rpc, Host host) {
        return rpc.callOuts.stream().anyMatch(callOut -> callOut.host == host);
    }

    /**
     * Returns the primary if it is eligible, otherwise null. If no primary that accepts sends is
     * known, returns for writes the first eligible member by id that is idle and has not recently
     * reported itself as a replica, until half of the RPC's call-outs are used up.
     */
    private Host choosePrimary(Rpc rpc) {
        Group group = rpc.group;
        if (group.primary != null && acceptsSends(group.primary)) {
            return isEligible(rpc, group.primary) ? group.primary : null;
        }
        group.primaryMissingAt = now;
        boolean searchExhausted = rpc.callOuts.size() >= Math.max(1, deployment.maxCallOuts() / 2);
        if (rpc.method.consistency() == Consistency.STRONG || searchExhausted) {
            return null;
        }
        for (Host host : group.members) {
            boolean recentlyReplica =
                    host.reportedReplica
                            && now.since(host.lastUsefulAnswerAt).shorterThan(ROLE_REPORT_TTL);
            if (!recentlyReplica
                    && !host.suspect
                    && host.inFlight.isEmpty()
                    && isEligible(rpc, host)) {
                return host;
            }
        }
        return null;
    }

    /**
     * Whether a host is not ejected, has capacity or, if suspect, is due for a trial, and passes
     * the gate.
     */
    private boolean isEligible(Rpc rpc, Host host) {
        return !now.before(host.ejectedUntil)
                && (host.suspect ? trialDue(host, rpc) : hasCapacity(host))
                && gate(rpc, host);
    }

    // ---- the gate

    /**
     * Whether the five rules permit a send. Every send passes this check; {@link #maySendNow}
     * repeats the conditions that can lapse.
     */
    private boolean gate(Rpc rpc, Host host) {
        return rpc.state != State.DONE
                && host.group == rpc.group
                && rpc.callOuts.size() < deployment.maxCallOuts()
                && (rpc.inFlight == 0
                        || deployment.parallelCallOutsAllowed()
                                && rpc.inFlight < 2
                                && rpc.method.idempotency() == Idempotency.IDEMPOTENT
                                && !alreadyTried(rpc, host))
                && isStillPermitted(rpc, host)
                && isWithinColdRate(host);
    }

    /** The conditions that can lapse between the decision to send and the write of the request. */
    private boolean isStillPermitted(Rpc rpc, Host host) {
        return now.before(rpc.deadline)
                && mayRunAgain(rpc)
                && acceptsSends(host)
                && isRecentEnough(rpc, host);
    }

    @Override
    public boolean maySendNow(Moment time, CallOut callOut) {
        now = time;
        return callOut.rpc.state != State.DONE && isStillPermitted(callOut.rpc, callOut.host);
    }

    /**
     * Rule 2, for sends: whether the RPC may run again. It never leaves its group, within which its
     * token is recognized.
     */
    private boolean mayRunAgain(Rpc rpc) {
        return rpc.firstPossibleRunAt == null
                || switch (rpc.method.idempotency()) {
                    case IDEMPOTENT -> true;
                    case TOKENED ->
                            now.plus(deployment.tick())
                                    .since(rpc.firstPossibleRunAt)
                                    .shorterThan(rpc.method.tokenWindow());
                    case NON_IDEMPOTENT -> false;
                };
    }

    /**
     * Rule 3: whether discovery permits sends to a host. Where only draining stops them, a host
     * that discovery lists as gone may still be up.
     */
    private boolean acceptsSends(Host host) {
        return deployment.onlyDrainingStopsSends()
                ? !host.seenDraining
                : host.discoveryState == Host.DiscoveryState.READY;
    }

    /**
     * Rule 5: whether a host is recent enough for a read. Hosts that reject stale reads check that
     * themselves. The believed primary is exempt until its own answer shows that it isn't the
     * primary.
     */
    private boolean isRecentEnough(Rpc rpc, Host host) {
        return rpc.method.consistency() == Consistency.WRITE
                || deployment.staleReadPolicy() == StaleReadPolicy.REJECT
                || host == host.group.primary
                || !host.position.before(requiredPosition(rpc, now));
    }

    /**
     * Rule 4: whether a send stays within this router's share of what all routers together may send
     * to a cold host in any window. A share below one send per window is kept by a longer gap
     * between sends with a random phase, so that many routers with little traffic stay within the
     * total.
     */
    private boolean isWithinColdRate(Host host) {
        Span age = now.since(host.startedAt);
        Span window = deployment.coldRateWindow();
        if (!age.shorterThan(deployment.warmUpTime().plus(window))) {
            return true;
        }
        double warmth = Math.max(0, age.minus(window).ratioTo(deployment.warmUpTime()));
        double share =
                deployment.coldStartShare()
                        + (1 - deployment.coldStartShare()) * Math.min(1, warmth);
        double warmSecondsPermitted =
                deployment.coldRateMultiple() * share * window.us() / 1e6 * COLD_BUDGET_FRACTION;
        double ownBudget = warmSecondsPermitted * warmRate(host.kind) * host.weight;
        double budget = Math.max(MIN_COLD_SENDS / deployment.routerCount(), ownBudget);
        if (budget >= 1) {
            return host.sends.countWithin(window, now) < (int) budget;
        }
        // Sends of many routers can coincide by chance. The lower the total, the larger the margin.
        double budgetOfAll = budget * deployment.routerCount();
        Span gap = window.times(1 / (budget * (1 - Math.min(0.5, 1 / Math.sqrt(budgetOfAll)))));
        return !now.before(
                host.startedAt.plus(gap.times(host.coldPhase)).later(host.sends.last().plus(gap)));
    }

    /**
     * Returns the RPCs of this router that a warm host of a kind has recently served per second and
     * unit of weight. Cached until the next check: it is needed for each pair of a pending RPC and
     * a cold host, and computing it visits all hosts.
     */
    private double warmRate(int kind) {
        warmRates = warmRates == null ? computeWarmRates() : warmRates;
        return warmRates.getOrDefault(kind, 0.0);
    }

    private Map<Integer, Double> computeWarmRates() {
        Map<Integer, Double> rates = new TreeMap<>();
        Map<Integer, Double> weights = new TreeMap<>();
        for (Host host : hosts.values()) {
            if (acceptsSends(host)
                    && !now.since(host.startedAt).shorterThan(deployment.warmUpTime())) {
                weights.merge(host.kind, host.weight, Double::sum);
                rates.merge(
                        host.kind,
                        host.recentOkCount.value * decay(host.recentOkCount, RATE_WINDOW),
                        Double::sum);
            }
        }
        double window =
                RATE_WINDOW.us() / 1e6 * (1 - Math.exp(-now.since(startedAt).ratioTo(RATE_WINDOW)));
        rates.replaceAll((kind, okCount) -> window <= 0 ? 0 : okCount / weights.get(kind) / window);
        return rates;
    }

    private boolean send(Rpc rpc, Host host) {
        if (!gate(rpc, host)) {
            return false;
        }
        CallOut callOut =
                new CallOut(
                        rpc, host, poolOf(host), rpc.callOuts.size(), now, checkedPosition(rpc));
        callOut.pool.inFlight++;
        rpc.callOuts.add(callOut);
        rpc.inFlight++;
        if (host.inFlight.isEmpty()) {
            busyHosts.add(host);
        }
        host.inFlight.add(callOut);
        if (host.suspect) {
            host.unansweredTrials++;
            scheduleTrial(host);
        }
        host.sends.record(now);
        boolean untilDeadline =
                deployment.cancellationAllowed()
                        || deployment.parallelCallOutsAllowed()
                        || rpc.method.idempotency() != Idempotency.IDEMPOTENT;
        outbound.send(
                callOut,
                untilDeadline
                        ? Span.ZERO
                        : new Span((long) (SILENCE_FACTOR * overallResponseTimeUs)));
        handle(rpc, Event.SENT);
        return true;
    }

    // ---- end of a batch

    @Override
    public void onBatchEnd(Moment time) {
        now = time;
        boolean checkDue = !now.before(nextCheckAt);
        if (checkDue) {
            nextCheckAt = now.plus(CHECK_INTERVAL);
            refillBuckets();
            forgetAppliedCommits();
            warmRates = null;
            for (Host host : new ArrayList<>(busyHosts)) {
                markOverdue(host);
                checkSilence(host);
            }
        }
        if (!now.before(nextProbeRoundAt)) {
            nextProbeRoundAt = now.plus(PROBE_ROUND_INTERVAL);
            sendProbes();
        }
        if ((checkDue || checkNeeded || anyMustAnswerNow()) && !pending.isEmpty()) {
            processPending();
        }
        checkNeeded = false;
        if ((!pending.isEmpty() || !busyHosts.isEmpty()) && !wakeRequestedFor.after(now)) {
            wakeRequestedFor = nextCheckAt.after(now) ? nextCheckAt : now.plus(CHECK_INTERVAL);
            outbound.wakeAt(wakeRequestedFor);
        }
    }

    /**
     * Checks the pending RPCs in order of decreasing utility, the latest arrival first among
     * equals.
     */
    private void processPending() {
        pending.sort(
                Comparator.comparingDouble((Rpc rpc) -> -currentUtility(rpc))
                        .thenComparing(
                                Comparator.comparing((Rpc rpc) -> rpc.arrivedAt).reversed()));
        new ArrayList<>(pending).forEach(rpc -> handle(rpc, Event.CHECK));
        pending.removeIf(rpc -> rpc.state != State.PENDING);
    }

    private void refillBuckets() {
        double seconds = now.since(bucketsRefilledAt).us() / 1e6;
        bucketsRefilledAt = now;
        for (Customer customer : deployment.customers()) {
            double rate = customer.quotaPerSecond() / deployment.routerCount();
            quotas.get(customer.index()).refill(rate * seconds, Math.max(MIN_QUOTA_BURST, rate));
        }
    }

    /** Forgets the commits that all members of a group which accept sends have applied. */
    private void forgetAppliedCommits() {
        for (Group group : groups.values()) {
            if (!group.sessionCommits.isEmpty()) {
                group.members.stream()
                        .filter(this::acceptsSends)
                        .map(host -> host.position)
                        .min(Comparator.naturalOrder())
                        .ifPresent(group.sessionCommits::forgetUpTo);
            }
        }
    }

    /**
     * Sends at most one probe to find a missing primary or check a suspect host, and one to refresh
     * a replica's position.
     */
    private void sendProbes() {
        Host positionTarget = null;
        Host healthTarget = null;
        for (Group group : groups.values()) {
            boolean primaryMissing =
                    now.since(group.primaryMissingAt).shorterThan(HEALTH_PROBE_INTERVAL)
                            || group.primary != null && group.primary.suspect;
            for (Host host : group.members) {
                if (!group.used || host.probeInFlight || !acceptsSends(host)) {
                    continue;
                }
                if (host.suspect || primaryMissing && deployment.probesReportPosition()) {
                    boolean due = !now.since(host.probedAt).shorterThan(HEALTH_PROBE_INTERVAL);
                    healthTarget = due ? longestUnprobed(host, healthTarget) : healthTarget;
                } else if (host != group.primary) {
                    positionTarget = longestUnprobed(host, positionTarget);
                }
            }
        }
        if (healthTarget != null && healthProbeBudget.tryTake()) {
            probe(healthTarget);
        }
        if (positionTarget != null
                && deployment.probesReportPosition()
                && now.since(positionTarget.position).longerThan(positionProbeAge)
                && positionProbeBudget.tryTake()) {
            probe(positionTarget);
        }
    }

    private static Host longestUnprobed(Host host, Host other) {
        return other == null || host.probedAt.before(other.probedAt) ? host : other;
    }

    private void probe(Host host) {
        if (deployment.probesAllowed() && !host.probeInFlight && acceptsSends(host)) {
            host.probeInFlight = true;
            host.probedAt = now;
            outbound.probe(host);
        }
    }

    // ---- lookups

    @Override
    public Host host(String id) {
        return hosts.get(id);
    }

    @Override
    public Group group(int number) {
        return groups.get(number);
    }
}
