package ironwind.model;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The positions of a group's commits that this router has learned, by session. A commit may be
 * forgotten; what the forgotten ones may have required is kept as one position for all sessions, so
 * that a session whose commit was forgotten is never taken for one without a commit.
 */
public final class SessionCommits {
    /** Most sessions that are remembered. Only a hash of a session's name is kept. */
    static final int MAX_SESSIONS = 16_384;

    /**
     * The newest position by the session's hash, in the order in which the commits were learned.
     * Sessions with the same hash share the newer position.
     */
    private final Map<Long, Moment> positions = new LinkedHashMap<>();

    /** The newest position that was forgotten; {@link Moment#NEVER} if none was. */
    private Moment newestForgotten = Moment.NEVER;

    /** The newest position that was learned; {@link Moment#NEVER} if there was none. */
    private Moment newest = Moment.NEVER;

    /** Records a commit; null stands for an unknown session. */
    public void record(String session, Moment position) {
        newest = newest.later(position);
        if (session == null) {
            return;
        }
        long hash = NameHash.of(session);
        Moment previous = positions.remove(hash);
        if (previous == null && !position.after(newestForgotten)) {
            // The session may have had a newer commit that was forgotten.
            return;
        }
        positions.put(hash, previous == null ? position : previous.later(position));
        if (positions.size() > MAX_SESSIONS) {
            Iterator<Moment> oldest = positions.values().iterator();
            newestForgotten = newestForgotten.later(oldest.next());
            oldest.remove();
        }
    }

    /**
     * Returns a position that a host must have applied to have all commits of a session; null
     * stands for an unknown session, and requires the newest commit.
     */
    public Moment requiredFor(String session) {
        if (session == null) {
            return newest;
        }
        Moment position = positions.get(NameHash.of(session));
        return position == null ? newestForgotten : position;
    }

    /** Returns the position of a session's last commit; {@link Moment#NEVER} if it isn't known. */
    public Moment rememberedFor(String session) {
        return session == null
                ? Moment.NEVER
                : positions.getOrDefault(NameHash.of(session), Moment.NEVER);
    }

    /** Forgets the oldest commits, up to the first that is after the given position. */
    public void forgetUpTo(Moment position) {
        Iterator<Moment> oldest = positions.values().iterator();
        while (oldest.hasNext()) {
            Moment commit = oldest.next();
            if (commit.after(position)) {
                return;
            }
            newestForgotten = newestForgotten.later(commit);
            oldest.remove();
        }
    }

    /** Whether no commit is remembered. */
    public boolean isEmpty() {
        return positions.isEmpty();
    }
}
