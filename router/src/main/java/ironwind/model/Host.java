package ironwind.model;

import java.util.ArrayList;
import java.util.List;

/**
 * One database host, as this router knows it. State only: the decision module writes every field.
 */
public final class Host {
    public final String id;
    public Group group;
    public int kind;
    public double size = 1;

    /** The list's word. */
    public Listing listing = Listing.READY;

    public boolean seenDraining;
    public boolean listedPrimary;
    public Moment startedAt = Moment.NEVER;

    /** Role and log position. */
    public boolean toldReplica;

    public Moment position = Moment.NEVER;
    public Moment reportHeard = Moment.NEVER;

    /** How old the reported position was when it was heard. */
    public Span lateness = Span.ZERO;

    public Moment missedAt = Moment.NEVER;

    /** The position it was found not to have reached. */
    public Moment missedNeed = Moment.NEVER;

    /** Work of ours that it holds, oldest first, and how it has been answering. */
    public final List<CallOut> out = new ArrayList<>();

    public Moment lastHeard = Moment.NEVER;
    public final Mean answerUs = new Mean(0);

    /** The same of all hosts in its zone. */
    public Mean zoneAnswerUs;

    /** Call-outs it has served us lately, fading. */
    public final Mean served = new Mean(0);

    public final Room room = new Room(0);

    /** Suspicion: silent or unreachable since, next trial, and what the last probe said. */
    public boolean suspect;

    public Moment suspectSince = Moment.NEVER;
    public Moment nextTrial = Moment.NEVER;
    public int trialsFailed;
    public boolean probeOut;
    public Moment probedAt = Moment.NEVER;
    public boolean probeAnswered;

    /** The last call-out to it was refused a connection at once. */
    public boolean refused;

    /** Answers in a row that were no use, and the rest that follows from them. */
    public int refusals;

    public int errors;
    public Moment restUntil = Moment.NEVER;

    /** Sends, for the budget of a cold host, and where in a gap between them the first may fall. */
    public final SendLog sends = new SendLog();

    public double coldPhase;

    public Host(String id) {
        this.id = id;
    }

    /** What the list says of a host. */
    public enum Listing {
        READY,
        DRAINING,
        GONE
    }
}
