package ironwind;

import ironwind.model.*;
import ironwind.model.Deployment.HostChecks;
import ironwind.model.Rpc.Stage;
import java.util.*;
import java.util.function.BiConsumer;

/**
 * All decisions of one router. A front (the wire's adapter, or a real router) makes one instance
 * per router, brings every event of a batch through {@link Inbound}, then calls {@link #settle};
 * the module answers by {@link Outbound}. Both stand in {@code ironwind.model}, with the state that
 * only this class writes. It reads no clock but the batch's, draws chance from its seed alone, and
 * is not safe for use by several threads.
 *
 * <p>The ordinary path is the log-position gate of docs/design.md: see {@link #choose}. Whatever is
 * proposed, {@link #gate} is the one place that a send passes. What happens to an RPC stands in
 * {@link #TABLE}.
 */
public final class Logic implements Inbound {
    /** The design's brief wait for a replica to pass, before the primary is taken. */
    private static final Span BRIEF_WAIT = Span.ofMillis(20);

    /** How often held RPCs and hosts are looked at when nothing else happens. */
    private static final Span LOOK_EVERY = Span.ofMillis(10);

    /**
     * A host is silent when its call-outs have waited so many mean answer times without a word,
     * added up.
     */
    private static final double SILENCE = 7;

    private static final Span LEAST_SILENCE = Span.ofMillis(150);

    /** As many call-outs count for silence at most; more may be queueing at the host. */
    private static final int SILENCE_VOICES = 4;

    /**
     * A host that turns work away or errs rests, twice as long each time in a row: it answers badly
     * but fast, and so looks idle. Harm: a full primary is used a little late.
     */
    private static final Span REST = Span.ofMillis(20);

    private static final int REST_DOUBLINGS = 6;

    /** A row of errors no likelier than this to be the RPCs' own counts against the host. */
    private static final double ERRORS_BY_CHANCE = 0.01;

    private static final double TRIAL_PATIENCE = 3;
    private static final Span TRIAL_EVERY = Span.ofMillis(400);
    private static final int TRIAL_DOUBLINGS = 3;

    /**
     * Connections are taken to be scarce for so long after a host that runs has refused one at
     * once.
     */
    private static final Span AT_ONCE = Span.ofMillis(20);

    private static final Span SCARCE_HOLDS = Span.ofMillis(10_000);
    private static final Span NEWS_EVERY = Span.ofMillis(250);
    private static final Span PROBE_EVERY = Span.ofMillis(50);

    /** A word as replica is taken as still true in the search for a primary for so long. */
    private static final Span ROLE_HOLDS = Span.ofMillis(400);

    /** How long a miss, and a reported position, tell that a replica is behind. */
    private static final Span MISS_HOLDS = Span.ofMillis(400);

    private static final Span REPORT_HOLDS = Span.ofMillis(3_000);

    /** A list naming a host that has called itself a replica since is late. */
    private static final Span LIST_LATENESS = Span.ofMillis(10_000);

    /**
     * Parts of the result that probes may cost: for positions, and for news of what is silent or
     * missing.
     */
    private static final double POSITION_SPEND = 0.002;

    private static final double NEWS_SPEND = 0.005;
    private static final double MOST_PROBE_SHARE = 0.5;
    private static final double BURST = 10;

    /**
     * In-flight limits: how they start, move and end, told by answer times as parts of the soft
     * deadline.
     */
    private static final double FIRST_LIMIT = 8;

    private static final double MOST_LIMIT = 256;
    private static final double LEAST_LIMIT = 1;

    /** A pool never shrinks below so many call-outs a host, of all routers together. */
    private static final double LEAST_A_HOST = 5;

    private static final double FIRST_A_HOST = 16;
    private static final double STRAINED = 0.42;
    private static final double EASY = 0.32;
    private static final double LIMIT_CUT = 0.85;
    private static final double LIMIT_STEP = 0.5;
    private static final double LIMIT_GROWTH = 0.08;
    private static final Span LIMIT_REST = Span.ofMillis(100);

    /**
     * Reads may take so much of the primary's room; the rest is for what only the primary takes.
     */
    private static final double READS_OF_PRIMARY = 0.6;

    private static final Span SAMPLES_OVER = Span.ofMillis(2_000);
    private static final Span STRAIN_FADES = Span.ofMillis(60_000);
    private static final double MOST_WEIGHT = 0.6;
    private static final double SMOOTHING = 0.08;
    private static final double HOST_SMOOTHING = 0.16;
    private static final Span HOST_FADES = Span.ofMillis(10_000);

    /** How long an over-share RPC is held, in soft deadlines, before it is shed. */
    private static final double SHED_OVER_SHARE = 0.15;

    /**
     * An RPC is given up when less than a mean answer time is left of its use, but not before this
     * part of the soft deadline: a method that only slow hosts serve would never be timed again.
     */
    private static final double LEAST_USE = 0.5;

    /**
     * An RPC of which less is left when late is not held past its soft deadline: failing late costs
     * more.
     */
    private static final double LATE_HOLD = 0.4;

    /**
     * What no host has seen is given back before so much of the client's time is over: it may try
     * again.
     */
    private static final double UNSEEN_HOLD = 0.5;

    /**
     * Cold budgets: the part of the allowance used, and all routers' sends always allowed in a
     * window.
     */
    private static final double COLD_MARGIN = 0.85;

    private static final double COLD_FLOOR = 3;
    private static final Span RATE_OVER = Span.ofMillis(8_000);
    private static final Span WRITE_BACKOFF = Span.ofMillis(200);
    private static final Span COMMIT_ROUNDING = Span.ofMillis(1);
    private static final double FIRST_MEAN_US = 150_000;

    /**
     * A customer may use so many RPCs of its share at once: a small router's is below one a second.
     */
    private static final double LEAST_SHARE = 5;

    /** What can happen to an RPC. */
    private enum Input {
        ARRIVED,
        LOOK,
        SENT,
        OK,
        UNRUN,
        UNSURE,
        HOPELESS,
        LEFT
    }

    private record Row(Stage state, Input input, Stage next, BiConsumer<Logic, Rpc> effect) {}

    private static final Row[] TABLE = {
        new Row(Stage.HELD, Input.LOOK, Stage.HELD, Logic::place),
        new Row(Stage.HELD, Input.ARRIVED, Stage.HELD, Logic::admit),
        new Row(Stage.HELD, Input.SENT, Stage.OUT, (logic, rpc) -> {}),
        new Row(Stage.HELD, Input.HOPELESS, Stage.OVER, Logic::answerUnserved),
        new Row(Stage.HELD, Input.LEFT, Stage.OVER, Logic::finish),
        new Row(Stage.OUT, Input.SENT, Stage.TWICE_OUT, (logic, rpc) -> {}),
        new Row(Stage.OUT, Input.OK, Stage.OVER, Logic::finish),
        new Row(Stage.OUT, Input.UNRUN, Stage.HELD, Logic::hold),
        new Row(Stage.OUT, Input.UNSURE, Stage.HELD, Logic::holdIfRepeatable),
        new Row(Stage.OUT, Input.LEFT, Stage.OVER, Logic::finish),
        new Row(Stage.TWICE_OUT, Input.OK, Stage.OVER, Logic::finish),
        new Row(Stage.TWICE_OUT, Input.UNRUN, Stage.OUT, (logic, rpc) -> {}),
        new Row(Stage.TWICE_OUT, Input.UNSURE, Stage.OUT, (logic, rpc) -> {}),
        new Row(Stage.TWICE_OUT, Input.LEFT, Stage.OVER, Logic::finish),
    };

    private final Deployment deployment;
    private final SplittableRandom random;
    private final Outbound outbound;
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final Map<Integer, Group> groups = new TreeMap<>();
    private final Map<Integer, Mean> zones = new TreeMap<>();

    /** By kind of host; null until one is asked for after a look. */
    private Map<Integer, Double> warmRates;

    private final List<Rpc> held = new ArrayList<>();

    /** Hosts that hold call-outs of ours: most hosts hold none of a small router's. */
    private final List<Host> working = new ArrayList<>();

    private final Map<String, Commit> commits = new LinkedHashMap<>();
    private final Span halfBound;
    private final double[] meanUs;

    /** Mean answer times where nothing strained: the work itself, as near as it can be told. */
    private final double[] easyUs;

    private final List<Bucket> shares = new ArrayList<>();
    private double allMeanUs = FIRST_MEAN_US;
    private double errorShare;
    private final Bucket positionProbes = new Bucket(0);
    private final Bucket newsProbes = new Bucket(BURST);
    private Moment now = Moment.NEVER;
    private Moment started = Moment.NEVER;
    private Moment bucketsFilled = Moment.NEVER;
    private Moment nextLook = Moment.NEVER;
    private Moment nextProbes = Moment.NEVER;
    private Moment wakeAsked = Moment.NEVER;
    private Moment scarceUntil = Moment.NEVER;
    private boolean stirred;

    private record Commit(Group group, Moment position) {}

    public Logic(Deployment deployment, long seed, Outbound outbound) {
        this.deployment = deployment;
        this.random = new SplittableRandom(seed);
        this.outbound = outbound;
        this.meanUs = new double[deployment.methods().size()];
        Arrays.fill(meanUs, FIRST_MEAN_US);
        this.easyUs = meanUs.clone();
        for (Customer customer : deployment.customers()) {
            shares.add(
                    new Bucket(
                            Math.max(
                                    LEAST_SHARE,
                                    customer.quotaPerSecond() / deployment.routers())));
        }
        this.halfBound =
                deployment.methods().stream()
                        .filter(m -> m.freshness() == Freshness.BOUNDED)
                        .map(Method::bound)
                        .min(Comparator.naturalOrder())
                        .orElse(Span.ofMillis(1_000))
                        .times(0.5);
    }

    // ---- the list

    @Override
    public void listed(Moment time, boolean complete, List<RosterEntry> entries) {
        now = time;
        started = started.us() == Moment.NEVER.us() ? now : started;
        stirred = true;
        Set<Host> absent = complete ? new LinkedHashSet<>(hosts.values()) : new LinkedHashSet<>();
        for (RosterEntry entry : entries) {
            Host host = hosts.computeIfAbsent(entry.id(), Host::new);
            absent.remove(host);
            if (host.group == null) {
                host.room.limit = FIRST_LIMIT;
                host.group = groups.computeIfAbsent(entry.group(), Group::new);
                host.group.members.add(host);
                host.group.members.sort(Comparator.comparing(h -> h.id));
                host.group.following.limit = firstOf(host.group.members.size());
            }
            host.zoneAnswerUs = zones.computeIfAbsent(entry.zone(), zone -> new Mean(allMeanUs));
            host.kind = entry.kind();
            host.size = entry.size() > 0 ? entry.size() : 1;
            relist(host, entry.listing());
            if (entry.startedAt().after(host.startedAt)) {
                restarted(host, entry.startedAt());
            }
            listedRole(host, entry.primary());
        }
        absent.forEach(host -> relist(host, Host.Listing.GONE));
        hosts.values().removeIf(this::forgets);
    }

    /**
     * Guards against lists that name new hosts without end: what is gone, and owes us nothing, is
     * let go.
     */
    private boolean forgets(Host host) {
        boolean goes = host.listing == Host.Listing.GONE && (host.suspect || !sendable(host));
        return goes && host.out.isEmpty() && host.group.members.remove(host);
    }

    private void relist(Host host, Host.Listing listing) {
        host.listing = listing;
        host.seenDraining =
                listing == Host.Listing.DRAINING
                        || host.seenDraining && listing != Host.Listing.READY;
    }

    private void restarted(Host host, Moment startedAt) {
        host.startedAt = startedAt;
        host.coldPhase = random.nextDouble();
        host.room.limit = FIRST_LIMIT / 2;
        if (host.suspect && startedAt.after(host.suspectSince)) {
            trust(host);
        }
    }

    /**
     * A late list must not overrule an answer: only a change counts, and only with nothing better
     * known.
     */
    private void listedRole(Host host, boolean primary) {
        boolean changed = primary && !host.listedPrimary;
        host.listedPrimary = primary;
        Group group = host.group;
        boolean open = group.primary == null || group.primary.suspect || !sendable(group.primary);
        boolean denied = host.toldReplica && now.since(host.lastHeard).shorterThan(LIST_LATENESS);
        if (changed && open && !denied) {
            lead(host, group.primaryTold);
        }
    }

    // ---- what answers prove

    private void lead(Host host, Moment spoken) {
        Group group = host.group;
        if (group.primary != host) {
            // What the last primary was strained by is not the new one's doing.
            stirred = true;
            group.leading = new Room(firstOf(1));
        }
        group.primary = host;
        group.primaryTold = spoken;
        host.toldReplica = false;
    }

    private void heardRole(Host host, Role role, Moment spoken) {
        if (role == Role.PRIMARY && !spoken.before(host.group.primaryTold)) {
            lead(host, spoken);
        } else if (role == Role.REPLICA
                && (host.group.primary != host || !spoken.before(host.group.primaryTold))) {
            host.toldReplica = true;
            if (host.group.primary == host) {
                host.group.primary = null;
            }
        }
    }

    @Override
    public void probed(Moment time, Host host, boolean answered, Role role, Moment position) {
        now = time;
        host.probeOut = false;
        host.probeAnswered = answered;
        host.refused &= answered;
        if (!answered) {
            host.trialsFailed = Math.max(1, host.trialsFailed);
            return;
        }
        if (host.refused) {
            // It runs, yet refused a connection; one that was down failed its probe first. Guards
            // against few
            // connections for many routers: each gives back what it doesn't use. Harm: more
            // handshakes.
            host.refused = false;
            scarceUntil = now.plus(SCARCE_HOLDS);
            trust(host);
        }
        if (position.after(Moment.NEVER)) {
            host.position = host.position.later(position);
            host.reportHeard = now;
            host.lateness = now.since(position);
            host.group.leastLateness =
                    host.group.members.stream()
                            .filter(h -> now.since(h.reportHeard).shorterThan(REPORT_HOLDS))
                            .map(h -> h.lateness)
                            .min(Comparator.naturalOrder())
                            .orElse(Span.ZERO);
            // A report is as old as its position at the least, so a late report cannot overrule an
            // answer.
            heardRole(host, role, position);
            stirred = true;
        }
    }

    @Override
    public void ended(
            Moment time,
            CallOut callOut,
            Outcome outcome,
            boolean closed,
            Role role,
            Moment position,
            Span took) {
        now = time;
        stirred = true;
        Rpc rpc = callOut.rpc;
        Host host = callOut.host;
        callOut.ended = true;
        host.out.remove(callOut);
        if (host.out.isEmpty()) {
            working.remove(host);
        }
        rpc.out--;
        if (!outcome.provesUnrun && rpc.firstMayHaveRun == null) {
            rpc.firstMayHaveRun = callOut.sent;
        }
        if (outcome.answered) {
            answered(callOut, outcome, role, position, took);
        } else if (outcome == Outcome.UNREACHED && !host.lastHeard.after(callOut.sent)) {
            // One connection of many that stays silent is no silent host: it has answered on
            // another since.
            host.refused = took.shorterThan(AT_ONCE);
            doubt(host);
            if (host.refused && newsProbes.take()) {
                probe(host);
            }
        } else if (outcome == Outcome.EXPIRED) {
            strained(callOut, took.over(rpc.method.softDeadline()));
        }
        leave(callOut, took);
        if (now.before(scarceUntil) && host.out.isEmpty()) {
            outbound.closeIdle(host);
        }
        step(
                rpc,
                outcome == Outcome.OK
                        ? Input.OK
                        : closed ? Input.LEFT : outcome.provesUnrun ? Input.UNRUN : Input.UNSURE);
    }

    /**
     * A pool with room for less than one call-out rests after each, in proportion to the time it
     * took.
     */
    private void leave(CallOut callOut, Span took) {
        Room pool = callOut.pool;
        if (!callOut.stranded) {
            pool.out--;
            Span held =
                    took.longer(callOut.overdue ? callOut.rpc.method.softDeadline() : Span.ZERO);
            pool.freeAt = pool.freeAt.later(now.plus(held.times(Math.max(0, 1 / pool.limit - 1))));
        }
    }

    private void answered(CallOut callOut, Outcome outcome, Role role, Moment position, Span took) {
        Rpc rpc = callOut.rpc;
        Host host = callOut.host;
        Freshness freshness = rpc.method.freshness();
        if (outcome == Outcome.FULL) {
            // A hung host whose queue is full still turns work away: that is no sign of health.
            rest(host);
            host.room.limit =
                    Math.max(LEAST_LIMIT, Math.min(host.room.limit, host.out.size()) * LIMIT_CUT);
            callOut.overdue = true;
            strained(callOut, 1);
        } else if (outcome == Outcome.ERROR) {
            erred(rpc, host);
        } else {
            errorShare -= SMOOTHING * errorShare;
            host.lastHeard = now;
            host.refused = false;
            host.refusals = 0;
            host.errors = 0;
            if (host.suspect) {
                trust(host);
            }
        }
        boolean committed = outcome == Outcome.OK && freshness == Freshness.WRITE;
        if (position.after(Moment.NEVER)) {
            // A commit is told rounded up, so the log is known applied only to just before it.
            host.position =
                    host.position.later(committed ? position.minus(COMMIT_ROUNDING) : position);
            if (committed && deployment.sessionsRemembered() && rpc.session != null) {
                commits.put(rpc.session, new Commit(host.group, position));
            }
        }
        heardRole(host, role, now);
        if (freshness != Freshness.WRITE && deployment.hostChecks() == HostChecks.REFUSE) {
            if (outcome == Outcome.OK) {
                host.position = host.position.later(need(rpc, callOut.sent));
                if (!need(rpc, callOut.sent).before(host.missedNeed)) {
                    host.missedAt = Moment.NEVER;
                }
            } else if (outcome == Outcome.MISS) {
                host.missedAt = now;
                host.missedNeed = need(rpc, callOut.sent);
                rpc.missed = true;
            }
        }
        if (outcome == Outcome.OK) {
            host.served.value = 1 + host.served.value * lasting(host.served, RATE_OVER);
            host.served.heard = now;
            timed(callOut, took);
        }
    }

    private void rest(Host host) {
        host.restUntil = now.plus(REST.times(1 << Math.min(REST_DOUBLINGS, host.refusals++)));
    }

    /**
     * Tells RPCs that err wherever they go from hosts that err on whatever comes: only a row of
     * errors that the share of errors among all answers doesn't explain is held against a host, and
     * an RPC that has erred at two hosts is itself to blame. Guards against floods of bad RPCs that
     * would put every host to rest. Harm: while many RPCs err, a host that errs on all is left
     * later.
     */
    private void erred(Rpc rpc, Host host) {
        if (rpc.erredAt == null) {
            errorShare += SMOOTHING * (1 - errorShare);
        }
        rpc.errsAnywhere = rpc.erredAt != null && rpc.erredAt != host;
        rpc.erredAt = host;
        boolean counted = rpc.customer != null && !rpc.overShare && !rpc.repeat;
        if (counted && (rpc.errsAnywhere || rpc.method.effect() == Effect.NON_IDEMPOTENT)) {
            // What can't be served anywhere uses up no share.
            shares.get(rpc.customer.index()).fill(1, Double.MAX_VALUE);
        }
        if (Math.pow(errorShare, ++host.errors) < ERRORS_BY_CHANCE) {
            rest(host);
        }
    }

    private void timed(CallOut callOut, Span took) {
        Host host = callOut.host;
        Method method = callOut.rpc.method;
        double us = took.us();
        allMeanUs += SMOOTHING * (us - allMeanUs);
        meanUs[method.index()] += SMOOTHING * (us - meanUs[method.index()]);
        if (callOut.pool.strain.value < EASY) {
            easyUs[method.index()] += SMOOTHING * (us - easyUs[method.index()]);
        }
        // A router with little traffic hears of a zone far oftener than of a host.
        learn(host.zoneAnswerUs, us, HOST_SMOOTHING);
        learn(host.answerUs, us, HOST_SMOOTHING);
        strained(callOut, took.over(method.softDeadline()));
    }

    /** What a host is expected to take: its own mean, fading into its zone's. */
    private double expectedUs(Host host) {
        double fresh = lasting(host.answerUs, HOST_FADES);
        return fresh * host.answerUs.value + (1 - fresh) * host.zoneAnswerUs.value;
    }

    /** The part of a figure that still counts: all when just heard, less and less as it fades. */
    private double lasting(Mean mean, Span over) {
        return Math.exp(-now.since(mean.heard).over(over));
    }

    /**
     * The longer nothing was heard, the more a sample weighs: routers with little traffic must
     * learn, and give way, as fast as others. Returns the weight.
     */
    private double learn(Mean mean, double sample, double least) {
        double weight =
                Math.max(least, Math.min(MOST_WEIGHT, now.since(mean.heard).over(SAMPLES_OVER)));
        mean.value += weight * (sample - mean.value);
        mean.heard = now;
        return weight;
    }

    private void strained(CallOut callOut, double ratio) {
        pace(callOut.host.room, ratio, HOST_SMOOTHING, callOut.host.out.size(), LEAST_LIMIT);
        pace(
                callOut.pool,
                ratio,
                SMOOTHING,
                callOut.pool.out,
                leastOf(callOut.pool, callOut.host.group));
    }

    /** How many of ours may be out, by how answer times compare with soft deadlines. */
    private void pace(Room room, double ratio, double smoothing, int out, double least) {
        double weight = learn(room.strain, ratio, smoothing);
        if (now.since(room.moved).shorterThan(LIMIT_REST)) {
            return;
        }
        if (room.strain.value > STRAINED) {
            room.limit =
                    Math.max(
                            least, Math.min(room.limit, out + 1) * Math.min(LIMIT_CUT, 1 - weight));
            room.moved = now;
        } else if (room.strain.value < EASY && out + 1 >= room.limit) {
            double ease = 1 - room.strain.value / EASY;
            room.limit =
                    Math.min(
                            MOST_LIMIT,
                            room.limit * (1 + LIMIT_GROWTH * ease)
                                    + LIMIT_STEP * Math.min(1, room.limit));
            room.moved = now;
        }
    }

    /** Our part of the few call-outs a host that any host can work on without delay. */
    private double leastOf(Room pool, Group group) {
        long count =
                group.members.stream()
                        .filter(host -> sendable(host) && !host.suspect && poolOf(host) == pool)
                        .count();
        return LEAST_A_HOST * Math.max(1, count) / deployment.routers();
    }

    private double firstOf(int hosts) {
        return Math.max(1, FIRST_A_HOST * hosts / deployment.routers());
    }

    private boolean roomAt(Host host) {
        Room pool = poolOf(host);
        return host.out.size() < host.room.limit
                && pool.out < pool.limit
                && !now.before(pool.freeAt);
    }

    private Room poolOf(Host host) {
        return host == host.group.primary ? host.group.leading : host.group.following;
    }

    /** What has passed its soft deadline unanswered says so before its answer does. */
    private void noteOverdue(Host host) {
        for (CallOut callOut : host.out) {
            Span waited = now.since(callOut.sent);
            if (!callOut.overdue
                    && !host.suspect
                    && waited.longerThan(callOut.rpc.method.softDeadline())) {
                callOut.overdue = true;
                strained(callOut, 1);
                learn(host.zoneAnswerUs, waited.us(), HOST_SMOOTHING);
            }
        }
    }

    // ---- silence

    /**
     * Guards against hosts that take work and answer nothing, whatever the cause: hung, gone
     * silent, cut off. The more call-outs wait, the sooner it is told. Harm: a host in a long pause
     * loses its traffic for a moment.
     */
    private void listenTo(Host host) {
        double waited = 0;
        Moment quietSince = host.out.get(0).sent.later(host.lastHeard);
        for (int i = 0; i < Math.min(SILENCE_VOICES, host.out.size()); i++) {
            waited += now.since(host.out.get(i).sent.later(host.lastHeard)).us();
        }
        double mean = Math.max(allMeanUs, Math.max(host.zoneAnswerUs.value, host.answerUs.value));
        if (!host.suspect
                && waited > SILENCE * mean
                && now.since(quietSince).longerThan(LEAST_SILENCE)) {
            doubt(host);
        } else if (host.suspect) {
            for (CallOut trial : new ArrayList<>(host.out)) {
                if (!trial.cancelled && now.since(trial.sent).us() > TRIAL_PATIENCE * mean) {
                    rescue(trial);
                }
            }
        }
    }

    private void doubt(Host host) {
        host.trialsFailed = host.suspect ? host.trialsFailed + 1 : 0;
        if (!host.suspect) {
            host.suspect = true;
            host.suspectSince = now;
            host.probeAnswered = !deployment.probesAllowed();
        }
        putOffTrial(host);
        stirred = true;
        for (CallOut callOut : new ArrayList<>(host.out)) {
            // What is stuck at a silent host takes no room away from the others.
            callOut.pool.out -= callOut.stranded ? 0 : 1;
            callOut.stranded = true;
            rescue(callOut);
        }
    }

    private void putOffTrial(Host host) {
        host.nextTrial =
                now.plus(TRIAL_EVERY.times(1 << Math.min(TRIAL_DOUBLINGS, host.trialsFailed)));
    }

    private void trust(Host host) {
        host.suspect = false;
        host.trialsFailed = 0;
    }

    /**
     * Sends elsewhere what may run again: a second copy where allowed, else once the first is
     * called off.
     */
    private void rescue(CallOut callOut) {
        Rpc rpc = callOut.rpc;
        if (rpc.stage != Stage.OUT
                || rpc.method.effect() != Effect.IDEMPOTENT
                || callOut.cancelled) {
            return;
        }
        if (deployment.parallelCallOuts()) {
            Host other = choose(rpc);
            if (other != null) {
                send(rpc, other);
            }
        } else if (deployment.cancelAllowed()) {
            callOut.cancelled = true;
            outbound.cancel(callOut);
        }
    }

    /**
     * A suspect host gets one idempotent RPC now and then, once a probe has shown that something
     * runs.
     */
    private boolean trialDue(Host host, Rpc rpc) {
        return rpc.method.effect() == Effect.IDEMPOTENT
                && rpc.callOuts.isEmpty()
                && host.probeAnswered
                && !now.before(host.nextTrial);
    }

    // ---- RPCs

    @Override
    public void arrived(Moment time, Rpc rpc) {
        now = time;
        step(rpc, Input.ARRIVED);
    }

    @Override
    public void left(Moment time, Rpc rpc) {
        now = time;
        step(rpc, Input.LEFT);
    }

    private void step(Rpc rpc, Input input) {
        for (Row row : TABLE) {
            if (row.state == rpc.stage && row.input == input) {
                rpc.stage = row.next;
                row.effect.accept(this, rpc);
                return;
            }
        }
    }

    private void hold(Rpc rpc) {
        held.add(rpc);
        stirred = true;
    }

    private void admit(Rpc rpc) {
        if (rpc.customer != null && rpc.customer.quotaPerSecond() > 0) {
            Bucket share = shares.get(rpc.customer.index());
            rpc.overShare = rpc.repeat ? share.empty() : !share.take();
        }
        positionProbes.fill(
                Math.min(MOST_PROBE_SHARE, POSITION_SPEND / deployment.probePrice()), BURST);
        newsProbes.fill(Math.min(MOST_PROBE_SHARE, NEWS_SPEND / deployment.probePrice()), BURST);
        if (!rpc.group.used) {
            rpc.group.used = true;
            if (deployment.probesTellPosition()) {
                rpc.group.members.forEach(this::probe);
            }
        }
        if (rpc.roomless) {
            step(rpc, Input.HOPELESS);
        } else {
            hold(rpc);
        }
    }

    private void holdIfRepeatable(Rpc rpc) {
        if (rpc.method.effect() == Effect.NON_IDEMPOTENT
                || !repeatable(rpc)
                || !now.before(rpc.deadline)
                || rpc.errsAnywhere) {
            step(rpc, Input.HOPELESS);
        } else {
            hold(rpc);
        }
    }

    private void finish(Rpc rpc) {
        for (CallOut callOut : rpc.callOuts) {
            if (!callOut.ended
                    && !callOut.cancelled
                    && deployment.cancelAllowed()
                    && rpc.method.effect() == Effect.IDEMPOTENT) {
                callOut.cancelled = true;
                outbound.cancel(callOut);
            }
        }
    }

    private void answerUnserved(Rpc rpc) {
        if (!mayPushBack(rpc)) {
            outbound.abort(rpc);
        } else {
            Span wait = deployment.backoffTold() ? deployment.longestBackoff() : Span.ZERO;
            boolean write = rpc.method.effect() != Effect.IDEMPOTENT;
            outbound.pushBack(rpc, write ? wait.shorter(WRITE_BACKOFF) : wait);
        }
    }

    /** Rule 2, for answers: a pushback says that trying again is harmless. */
    private boolean mayPushBack(Rpc rpc) {
        return rpc.out == 0
                && switch (rpc.method.effect()) {
                    case IDEMPOTENT -> true;
                    case TOKENED -> rpc.firstMayHaveRun == null || rpc.method.repeatsAnywhere();
                    case NON_IDEMPOTENT -> rpc.firstMayHaveRun == null;
                };
    }

    private double worthNow(Rpc rpc) {
        boolean late = now.since(rpc.arrived).longerThan(rpc.method.softDeadline());
        return (late ? rpc.method.lateUtility() : rpc.method.utility())
                * (rpc.overShare ? deployment.overShareUtility() : 1);
    }

    private void place(Rpc rpc) {
        Host host = choose(rpc);
        if (host != null && send(rpc, host)) {
            return;
        }
        Method method = rpc.method;
        Span mean = new Span((long) meanUs[method.index()]);
        Span use =
                method.softDeadline().minus(mean.shorter(method.softDeadline().times(LEAST_USE)));
        Span early = rpc.deadline.since(rpc.arrived).times(UNSEEN_HOLD).minus(LOOK_EVERY.times(2));
        Span waited = now.since(rpc.arrived);
        boolean unseen = rpc.callOuts.isEmpty() && !waited.shorterThan(early);
        boolean useless =
                method.lateUtility() < LATE_HOLD * method.utility() && !waited.shorterThan(use);
        boolean shed = rpc.overShare && waited.over(method.softDeadline()) > SHED_OVER_SHARE;
        if (lastCall(rpc) || unseen || useless || shed && mayPushBack(rpc)) {
            step(rpc, Input.HOPELESS);
        }
    }

    private boolean lastCall(Rpc rpc) {
        return !now.before(rpc.deadline.minus(deployment.tick().times(2)));
    }

    /**
     * Guards against a look that comes late: what is held is answered by its deadline, looked at or
     * not.
     */
    private boolean anyAtLastCall() {
        for (Rpc rpc : held) {
            if (lastCall(rpc)) {
                return true;
            }
        }
        return false;
    }

    // ---- the ordinary path

    /** The position a read must be answered from, if sent at this time. */
    private Moment need(Rpc rpc, Moment sent) {
        return switch (rpc.method.freshness()) {
            case FRESH, WRITE -> rpc.arrived;
            case BOUNDED -> sent.minus(rpc.method.bound());
            case SESSION ->
                    deployment.sessionsRemembered() && rpc.session != null
                            ? commits.getOrDefault(rpc.session, NO_COMMIT).position
                            : rpc.token;
            case ANY -> Moment.NEVER;
        };
    }

    private static final Commit NO_COMMIT = new Commit(null, Moment.NEVER);

    private Host choose(Rpc rpc) {
        if (primaryOnly(rpc.method)) {
            return choosePrimary(rpc);
        }
        Moment need = need(rpc, now);
        Group group = rpc.group;
        boolean checks = deployment.hostChecks() == HostChecks.REFUSE;
        if (group.primary != null && group.primary.suspect && fit(rpc, group.primary)) {
            // A trial, as at a suspect replica: writes are none, and no read may need the primary
            // for long.
            return group.primary;
        }
        Host replica = chooseReplica(rpc, need, false);
        if (replica == null && checks && need.after(Moment.NEVER)) {
            replica = chooseReplica(rpc, need, true);
        }
        if (replica != null) {
            return replica;
        }
        boolean waited = checks && rpc.missed || !now.since(rpc.arrived).shorterThan(BRIEF_WAIT);
        return waited && group.primary != null && primaryHasRoomFor(rpc) && fit(rpc, group.primary)
                ? group.primary
                : null;
    }

    /**
     * Whether the primary has room for a read beside what only it takes. Where the part for reads
     * is below one call-out, strain tells instead, the sooner the less the read earns for its time:
     * the many small parts would add up to a full primary. Strain fades, so that a primary without
     * writes is tried again.
     */
    private boolean primaryHasRoomFor(Rpc rpc) {
        Room pool = rpc.group.leading;
        double part = READS_OF_PRIMARY * Math.min(pool.limit, rpc.group.primary.room.limit);
        double strain = pool.strain.value * lasting(pool.strain, STRAIN_FADES);
        double most = earns(rpc.method);
        for (Method method : deployment.methods()) {
            most = primaryOnly(method) ? Math.max(most, earns(method)) : most;
        }
        return rpc.group.primary.out.size() < Math.max(1, part)
                && (part >= 1
                        || strain * Math.min(1, 2 * (1 - earns(rpc.method) / most)) < STRAINED);
    }

    private static boolean primaryOnly(Method method) {
        return method.freshness() == Freshness.WRITE || method.freshness() == Freshness.FRESH;
    }

    private double earns(Method method) {
        return method.utility() / easyUs[method.index()];
    }

    /**
     * Fewest of our own call-outs in flight among the replicas known to be past the position; with
     * {@code presumed}, among the most advanced: where hosts check for themselves, all not known to
     * be behind count as equally advanced, so that one is not drowned. Harm: a replica that catches
     * up is used a little late.
     */
    private Host chooseReplica(Rpc rpc, Moment need, boolean presumed) {
        Host best = null;
        double weights = 0;
        for (Host host : rpc.group.members) {
            boolean passes =
                    presumed
                            ? !behind(host, need) && !triedAt(rpc, host)
                            : !host.position.before(need);
            if (host == rpc.group.primary || host == rpc.erredAt || !passes || !fit(rpc, host)) {
                continue;
            }
            if (host.suspect) {
                return host;
            }
            int order = best == null ? -1 : Integer.compare(host.out.size(), best.out.size());
            weights = (order < 0 ? 0 : weights) + (order <= 0 ? chance(host) : 0);
            if (order < 0 || order == 0 && random.nextDouble() * weights < chance(host)) {
                best = host;
            }
        }
        return best;
    }

    /**
     * Ties at random, with better chances for hosts seen to answer sooner: a router with little
     * traffic has mostly ties, and would load a slow host like a fast one.
     */
    private double chance(Host host) {
        double speed = allMeanUs / expectedUs(host);
        return speed * speed * speed * speed;
    }

    /**
     * Whether a replica would miss: by its last miss, or by how much further behind its report was
     * than the group's best (late reports make all look behind alike, and tell nothing).
     */
    private boolean behind(Host host, Moment need) {
        boolean missedLately =
                !need.before(host.missedNeed) && now.since(host.missedAt).shorterThan(MISS_HOLDS);
        boolean lagging =
                now.since(host.reportHeard).shorterThan(REPORT_HOLDS)
                        && now.minus(host.lateness.minus(host.group.leastLateness)).before(need);
        return missedLately || lagging;
    }

    private static boolean triedAt(Rpc rpc, Host host) {
        return rpc.callOuts.stream().anyMatch(callOut -> callOut.host == host);
    }

    private Host choosePrimary(Rpc rpc) {
        Group group = rpc.group;
        if (group.primary != null && sendable(group.primary)) {
            return fit(rpc, group.primary) ? group.primary : null;
        }
        group.lastMisplaced = now;
        boolean roundsOver = rpc.callOuts.size() >= Math.max(1, deployment.mostCallOuts() / 2);
        if (rpc.method.freshness() == Freshness.FRESH || roundsOver) {
            return null;
        }
        for (Host host : group.members) {
            boolean saidReplica =
                    host.toldReplica && now.since(host.lastHeard).shorterThan(ROLE_HOLDS);
            if (!saidReplica && !host.suspect && host.out.isEmpty() && fit(rpc, host)) {
                return host;
            }
        }
        return null;
    }

    /**
     * Whether a host may be proposed: not silent (or due for trial), with room, let through by the
     * gate.
     */
    private boolean fit(Rpc rpc, Host host) {
        return !now.before(host.restUntil)
                && (host.suspect ? trialDue(host, rpc) : roomAt(host))
                && gate(rpc, host);
    }

    // ---- the gate

    /** The five rules, for sends. Every send passes here and nowhere else. */
    private boolean gate(Rpc rpc, Host host) {
        return rpc.stage != Stage.OVER
                && host.group == rpc.group
                && rpc.callOuts.size() < deployment.mostCallOuts()
                && (rpc.out == 0
                        || deployment.parallelCallOuts()
                                && rpc.out < 2
                                && rpc.method.effect() == Effect.IDEMPOTENT
                                && !triedAt(rpc, host))
                && stillBound(rpc, host)
                && coldLets(host);
    }

    /** What time or news alone may undo between a send's decision and its last byte. */
    private boolean stillBound(Rpc rpc, Host host) {
        return now.before(rpc.deadline)
                && repeatable(rpc)
                && sendable(host)
                && freshEnough(rpc, host);
    }

    @Override
    public boolean stillPasses(Moment time, CallOut callOut) {
        now = time;
        return callOut.rpc.stage != Stage.OVER && stillBound(callOut.rpc, callOut.host);
    }

    /**
     * Rule 2, for sends. An RPC never leaves its group, which is the scope within which marks are
     * known.
     */
    private boolean repeatable(Rpc rpc) {
        return rpc.firstMayHaveRun == null
                || switch (rpc.method.effect()) {
                    case IDEMPOTENT -> true;
                    case TOKENED ->
                            now.plus(deployment.tick())
                                    .since(rpc.firstMayHaveRun)
                                    .shorterThan(rpc.method.repeatWindow());
                    case NON_IDEMPOTENT -> false;
                };
    }

    /**
     * Rule 3: where only draining binds, the list's word that a host is gone is no proof of what is
     * up.
     */
    private boolean sendable(Host host) {
        return deployment.onlyDrainingBinds()
                ? !host.seenDraining
                : host.listing == Host.Listing.READY;
    }

    /** Rule 5. A host held for the primary is excused until its own answer says otherwise. */
    private boolean freshEnough(Rpc rpc, Host host) {
        return rpc.method.freshness() == Freshness.WRITE
                || deployment.hostChecks() == HostChecks.REFUSE
                || host == host.group.primary
                || !host.position.before(need(rpc, now));
    }

    /**
     * Rule 4: our part of what all routers together may send a cold host in any window. A part
     * below one send a window becomes a longer wait between sends, begun at a random point: many
     * small routers keep it.
     */
    private boolean coldLets(Host host) {
        Span age = now.since(host.startedAt);
        Span window = deployment.fallWindow();
        if (!age.shorterThan(deployment.warmAfter().plus(window))) {
            return true;
        }
        double warmth = Math.max(0, age.minus(window).over(deployment.warmAfter()));
        double share = deployment.coldShare() + (1 - deployment.coldShare()) * Math.min(1, warmth);
        double everyone = deployment.fallMultiple() * share * window.us() / 1e6 * COLD_MARGIN;
        double ours = everyone * warmRate(host.kind) * host.size;
        double budget = Math.max(COLD_FLOOR / deployment.routers(), ours);
        if (budget >= 1) {
            return host.sends.within(window, now) < (int) budget;
        }
        // Many spaced sends fall together by chance: the fewer are allowed in all, the more is left
        // free.
        double allowed = budget * deployment.routers();
        Span gap = window.times(1 / (budget * (1 - Math.min(0.5, 1 / Math.sqrt(allowed)))));
        return !now.before(
                host.startedAt.plus(gap.times(host.coldPhase)).later(host.sends.last().plus(gap)));
    }

    /**
     * Our own RPCs that a warm host of this kind has lately served a second, per unit of listed
     * size; reckoned once a look at the most. Each held RPC asks it of each cold host, and would go
     * through all hosts anew.
     */
    private double warmRate(int kind) {
        warmRates = warmRates == null ? reckonWarmRates() : warmRates;
        return warmRates.getOrDefault(kind, 0.0);
    }

    private Map<Integer, Double> reckonWarmRates() {
        Map<Integer, Double> rates = new TreeMap<>();
        Map<Integer, Double> sizes = new TreeMap<>();
        for (Host host : hosts.values()) {
            if (sendable(host) && !now.since(host.startedAt).shorterThan(deployment.warmAfter())) {
                sizes.merge(host.kind, host.size, Double::sum);
                rates.merge(
                        host.kind,
                        host.served.value * lasting(host.served, RATE_OVER),
                        Double::sum);
            }
        }
        double window = RATE_OVER.us() / 1e6 * (1 - Math.exp(-now.since(started).over(RATE_OVER)));
        rates.replaceAll((kind, served) -> window <= 0 ? 0 : served / sizes.get(kind) / window);
        return rates;
    }

    private boolean send(Rpc rpc, Host host) {
        if (!gate(rpc, host)) {
            return false;
        }
        CallOut callOut = new CallOut(rpc, host, poolOf(host), rpc.callOuts.size(), now);
        callOut.pool.out++;
        rpc.callOuts.add(callOut);
        rpc.out++;
        if (host.out.isEmpty()) {
            working.add(host);
        }
        host.out.add(callOut);
        if (host.suspect) {
            host.trialsFailed++;
            putOffTrial(host);
        }
        host.sends.note(now);
        boolean calledOff =
                deployment.cancelAllowed()
                        || deployment.parallelCallOuts()
                        || rpc.method.effect() != Effect.IDEMPOTENT;
        outbound.send(callOut, calledOff ? Span.ZERO : new Span((long) (SILENCE * allMeanUs)));
        step(rpc, Input.SENT);
        return true;
    }

    // ---- the round of a batch

    @Override
    public void settle(Moment time) {
        now = time;
        boolean due = !now.before(nextLook);
        if (due) {
            nextLook = now.plus(LOOK_EVERY);
            fillBuckets();
            warmRates = null;
            for (Host host : new ArrayList<>(working)) {
                noteOverdue(host);
                listenTo(host);
            }
        }
        if (!now.before(nextProbes)) {
            nextProbes = now.plus(PROBE_EVERY);
            probeAround();
        }
        if ((due || stirred || anyAtLastCall()) && !held.isEmpty()) {
            placeHeld();
        }
        stirred = false;
        if ((!held.isEmpty() || !working.isEmpty()) && !wakeAsked.after(now)) {
            wakeAsked = nextLook.after(now) ? nextLook : now.plus(LOOK_EVERY);
            outbound.wakeAt(wakeAsked);
        }
    }

    private void placeHeld() {
        held.sort(
                Comparator.comparingDouble((Rpc rpc) -> -worthNow(rpc))
                        .thenComparing(Comparator.comparing((Rpc rpc) -> rpc.arrived).reversed()));
        new ArrayList<>(held).forEach(rpc -> step(rpc, Input.LOOK));
        held.removeIf(rpc -> rpc.stage != Stage.HELD);
    }

    private void fillBuckets() {
        double seconds = now.since(bucketsFilled).us() / 1e6;
        bucketsFilled = now;
        for (Customer customer : deployment.customers()) {
            double rate = customer.quotaPerSecond() / deployment.routers();
            shares.get(customer.index()).fill(rate * seconds, Math.max(LEAST_SHARE, rate));
        }
        if (!commits.isEmpty()) {
            commits.values()
                    .removeIf(
                            commit ->
                                    commit.group.members.stream()
                                            .allMatch(
                                                    host ->
                                                            !sendable(host)
                                                                    || !host.position.before(
                                                                            commit.position)));
        }
    }

    /**
     * Probes: for news of a missing primary, for a sign of life of suspects, and to keep positions
     * young.
     */
    private void probeAround() {
        Host oldest = null;
        Host unheard = null;
        for (Group group : groups.values()) {
            boolean misplaced =
                    now.since(group.lastMisplaced).shorterThan(NEWS_EVERY)
                            || group.primary != null && group.primary.suspect;
            for (Host host : group.members) {
                if (!group.used || host.probeOut || !sendable(host)) {
                    continue;
                }
                if (host.suspect || misplaced && deployment.probesTellPosition()) {
                    boolean due = !now.since(host.probedAt).shorterThan(NEWS_EVERY);
                    unheard = due ? longerUnprobed(host, unheard) : unheard;
                } else if (host != group.primary) {
                    oldest = longerUnprobed(host, oldest);
                }
            }
        }
        if (unheard != null && newsProbes.take()) {
            probe(unheard);
        }
        if (oldest != null
                && deployment.probesTellPosition()
                && now.since(oldest.position).longerThan(halfBound)
                && positionProbes.take()) {
            probe(oldest);
        }
    }

    private static Host longerUnprobed(Host host, Host other) {
        return other == null || host.probedAt.before(other.probedAt) ? host : other;
    }

    private void probe(Host host) {
        if (deployment.probesAllowed() && !host.probeOut && sendable(host)) {
            host.probeOut = true;
            host.probedAt = now;
            outbound.probe(host);
        }
    }

    // ---- the door's look-ups

    @Override
    public Host host(String id) {
        return hosts.get(id);
    }

    @Override
    public Group group(int number) {
        return groups.get(number);
    }
}
