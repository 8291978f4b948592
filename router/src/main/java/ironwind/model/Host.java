package ironwind.model;

import java.util.ArrayList;
import java.util.List;

/** One database host as this router knows it. Plain state, written by the decision logic. */
public final class Host {
    /** The host's id in discovery. */
    public final String id;

    /** The group that it belongs to; null until discovery has named it. */
    public Group group;

    /** Index of its kind in discovery; the rates of warm hosts are pooled within a kind. */
    public int kind;

    /** Capacity relative to other hosts of its kind. */
    public double weight = 1;

    /** State in the last discovery update that named it, or that was complete without it. */
    public DiscoveryState discoveryState = DiscoveryState.READY;

    /** Whether it has been listed as draining since it was last listed as ready. */
    public boolean seenDraining;

    /** Whether discovery lists it as the primary. */
    public boolean listedPrimary;

    /** When it was started; {@link Moment#NEVER} if unknown. */
    public Moment startedAt = Moment.NEVER;

    /**
     * Whether the host has reported that it is a replica since it was last believed to be the
     * primary.
     */
    public boolean reportedReplica;

    /** When it made its newest statement of its role; {@link Moment#NEVER} if it made none. */
    public Moment roleReportedAt = Moment.NEVER;

    /** Log position that it is known to have applied at least. */
    public Moment position = Moment.NEVER;

    /** When a probe last returned its position. */
    public Moment positionReportedAt = Moment.NEVER;

    /** Age of that position when it was received. */
    public Span lag = Span.ZERO;

    /** When it last rejected a read as too far behind; reset once it has served such a read. */
    public Moment behindAt = Moment.NEVER;

    /** The position that the rejected read required. */
    public Moment behindPosition = Moment.NEVER;

    /** This router's call-outs that it has not answered yet, oldest first. */
    public final List<CallOut> inFlight = new ArrayList<>();

    /**
     * When it last answered a call-out with something other than an error or an overload rejection.
     */
    public Moment lastUsefulAnswerAt = Moment.NEVER;

    /** Smoothed response time in microseconds. */
    public final MovingAverage responseTimeUs = new MovingAverage(0);

    /** Smoothed response time of all hosts in its zone, in microseconds; shared between them. */
    public MovingAverage zoneResponseTimeUs;

    /** Exponentially decaying count of the call-outs that it answered ok. */
    public final MovingAverage recentOkCount = new MovingAverage(0);

    /** Limits this router's call-outs to the host. */
    public final ConcurrencyLimit concurrency = new ConcurrencyLimit(0);

    /**
     * Whether it is suspected to be down, because it is silent or unreachable; then only trials are
     * sent.
     */
    public boolean suspect;

    /** When it became suspect. */
    public Moment suspectSince = Moment.NEVER;

    /** Earliest time of the next trial of a suspect host. */
    public Moment nextTrialAt = Moment.NEVER;

    /** Trials in a row without a useful answer so far; increases the time until the next one. */
    public int unansweredTrials;

    /** Whether a probe is in flight. */
    public boolean probeInFlight;

    /** When it was last probed. */
    public Moment probedAt = Moment.NEVER;

    /**
     * Whether it answered the last probe. Reset when it becomes suspect: to false, or to true where
     * hosts may not be probed.
     */
    public boolean lastProbeAnswered;

    /**
     * Whether it refused the connection of the last call-out immediately and the cause is unknown:
     * neither a probe nor an answer has shown since whether the host runs.
     */
    public boolean refusalUnexplained;

    /** Ejections since the last useful answer; each doubles the time of the next. */
    public int consecutiveEjections;

    /** Error answers since the last useful answer. */
    public int consecutiveErrors;

    /** Until when nothing is sent to it after rejections or errors. */
    public Moment ejectedUntil = Moment.NEVER;

    /** Times of the latest sends, for the rate limit of a cold host. */
    public final SendLog sends = new SendLog();

    /**
     * Random phase of the first send to a cold host, as a fraction of the gap between two sends.
     */
    public double coldPhase;

    /** Creates a host that belongs to no group yet. */
    public Host(String id) {
        this.id = id;
    }

    /** State of a host in discovery. */
    public enum DiscoveryState {
        /** Takes RPCs. */
        READY,
        /** Finishes its work and takes no new RPCs. */
        DRAINING,
        /** Removed from discovery. */
        GONE
    }
}
