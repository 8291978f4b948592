package ironwind.idle;

import ironwind.model.Bucket;
import ironwind.model.Span;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Who is let in, who gives way when room ends, and whose time is out. Connections stand in one
 * chain a standing, in the order in which they came to it, so that the first of a chain is both the
 * next whose time is out and the next to give way: no step walks over connections, and none has a
 * timer.
 */
public final class Keeper {
    /** The order in which the chains give way; those that are busy never do. */
    private static final ConnectionState[] GIVING_WAY = {
        ConnectionState.CLOSING,
        ConnectionState.STARTUP,
        ConnectionState.UNUSED,
        ConnectionState.IDLE
    };

    /** Time to read a fatal error: what is closed with input unread takes back what was written. */
    private static final Span FAREWELL = Span.ofMillis(300);

    private static final double MILLION = 1e6;

    private final Limits limits;
    private final Map<ConnectionState, Chain> chains = new EnumMap<>(ConnectionState.class);
    private final Map<Reason, long[]> ended = new EnumMap<>(Reason.class);
    private final Map<Object, Share> addresses = new HashMap<>();
    private final Map<Object, Share> customers = new HashMap<>();
    private int inside;
    private final Bucket newcomers;
    private long filledAt;

    public Keeper(Limits limits) {
        this.limits = limits;
        this.newcomers = new Bucket(limits.newAtOnce());
        for (ConnectionState standing : ConnectionState.values()) {
            chains.put(standing, new Chain(standing));
        }
        for (Reason reason : Reason.values()) {
            ended.put(reason, new long[1]);
        }
    }

    // ---- the door

    /** Whether one more may be taken from the system's queue now. */
    public boolean opens(long now) {
        fill(now);
        return limits.newPerSecond() == 0 || !newcomers.empty();
    }

    /** How long until then; at least a millisecond. */
    public Span opensIn(long now) {
        fill(now);
        double seconds = newcomers.missing() / Math.max(1, limits.newPerSecond());
        return new Span((long) (seconds * MILLION)).longer(Span.ofMillis(1));
    }

    private void fill(long now) {
        double gained = (now - filledAt) / MILLION * limits.newPerSecond();
        newcomers.fill(gained, Math.max(1, limits.newAtOnce()));
        filledAt = now;
    }

    /** Why one from this address is not let in; null where it may come in. Counts a refusal. */
    public Reason refusal(Object address) {
        Share share = addresses.get(address);
        if (limits.perAddress() > 0 && share != null && share.connections >= limits.perAddress()) {
            return count(Reason.ADDRESS_FULL);
        }
        if (inside >= limits.connections() && leastKnown() == null) {
            return count(Reason.ALL_BUSY);
        }
        return null;
    }

    /** Lets one in. */
    public void enter(Peer peer, Object address, long now) {
        fill(now);
        newcomers.take();
        peer.address = addresses.computeIfAbsent(address, Share::new);
        peer.address.connections++;
        inside++;
        chain(ConnectionState.STARTUP).enter(peer, now);
    }

    /** Who has to give way before one more comes in; null where nobody has to or can. */
    public Peer toGiveWay() {
        return inside >= limits.connections() ? leastKnown() : null;
    }

    /**
     * Who may be let go between two requests, least known first; null where nobody is left that
     * carries nothing.
     */
    public Peer leastKnown() {
        for (ConnectionState standing : GIVING_WAY) {
            Peer first = chain(standing).first();
            if (first != null) {
                return first;
            }
        }
        return null;
    }

    // ---- what becomes of those inside

    /** It comes to a standing, or to the same anew; one that has left stays away. */
    public void stands(Peer peer, ConnectionState standing, long now) {
        if (peer.chain == null) {
            return;
        }
        peer.chain.leave(peer);
        chain(standing).enter(peer, now);
        leaveIdle(peer);
        if (peer.customer != null && standing == ConnectionState.IDLE) {
            peer.amongIdle = new Line.Place(peer);
            peer.customer.idle.append(peer.amongIdle);
        }
    }

    /**
     * It has had an answer, on behalf of a customer (null where there are none). Who has to give
     * way as that customer has too many; null where nobody has to.
     */
    public Peer served(Peer peer, Object customer, long now) {
        if (peer.chain == null) {
            return null;
        }
        peer.servedAt = now;
        Share share =
                customer == null || limits.perCustomer() == 0
                        ? null
                        : customers.computeIfAbsent(customer, Share::new);
        if (peer.customer != share) {
            leaveCustomer(peer);
            peer.customer = share;
            if (share != null) {
                share.connections++;
            }
        }
        boolean over = share != null && share.connections > limits.perCustomer();
        return over ? share.idle.first() : null;
    }

    private void leaveIdle(Peer peer) {
        if (peer.amongIdle != null) {
            peer.customer.idle.remove(peer.amongIdle);
            peer.amongIdle = null;
        }
    }

    private void leaveCustomer(Peer peer) {
        leaveIdle(peer);
        Share share = peer.customer;
        if (share != null) {
            share.connections--;
            if (share.connections == 0) {
                customers.remove(share.key);
            }
            peer.customer = null;
        }
    }

    /** It is gone; a second time does nothing. */
    public void leave(Peer peer) {
        if (peer.chain == null) {
            return;
        }
        peer.chain.leave(peer);
        leaveCustomer(peer);
        peer.address.connections--;
        if (peer.address.connections == 0) {
            addresses.remove(peer.address.key);
        }
        peer.address = null;
        inside--;
    }

    /**
     * One whose time is out, for {@link #whyDue}; null where none is. It is told again until it
     * moves or leaves.
     */
    public Peer due(long now) {
        for (Chain chain : chains.values()) {
            Peer first = chain.first();
            Span patience = patience(chain.standing);
            if (first != null && patience.us() > 0 && now - first.since > patience.us()) {
                return first;
            }
        }
        return null;
    }

    /** Why one that is due is to end. */
    public Reason whyDue(Peer peer) {
        ConnectionState standing = peer.standing();
        return standing == ConnectionState.STARTUP || standing == ConnectionState.RECEIVING
                ? Reason.TOO_SLOW
                : Reason.IDLE_TOO_LONG;
    }

    private Span patience(ConnectionState standing) {
        return switch (standing) {
            case CLOSING -> FAREWELL;
            case STARTUP -> limits.startupTime();
            case RECEIVING -> limits.messageTime();
            case UNUSED -> limits.greetedTime();
            case IDLE ->
                    inside > limits.crowdedPart() * limits.connections()
                            ? limits.crowdedTime()
                            : limits.servedTime();
            case BUSY -> Span.ZERO;
        };
    }

    // ---- figures

    public Reason count(Reason reason) {
        ended.get(reason)[0]++;
        return reason;
    }

    public long ended(Reason reason) {
        return ended.get(reason)[0];
    }

    public int standing(ConnectionState standing) {
        return chain(standing).size();
    }

    /** How long the one that has stood so for longest has; zero where none does. */
    public Span longest(ConnectionState standing, long now) {
        Peer first = chain(standing).first();
        return first == null ? Span.ZERO : new Span(Math.max(0, now - first.since));
    }

    public int inside() {
        return inside;
    }

    public int addresses() {
        return addresses.size();
    }

    public Limits limits() {
        return limits;
    }

    private Chain chain(ConnectionState standing) {
        return chains.get(standing);
    }
}
