package ironwind.net;

import ironwind.model.NameHash;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The ids of clients' RPCs that no further RPC may have: those without a final answer, and those of
 * the latest writes that may have run, which must not run again under the same id.
 */
final class RequestIds {
    /** Most writes that are remembered. Only a hash of an id is kept. */
    static final int MAX_REMEMBERED = 16_384;

    private final Map<String, Exchange> open = new HashMap<>();

    /** Hashes of the ids of writes that may have run, the oldest first. */
    private final Set<Long> remembered = new LinkedHashSet<>();

    /** Returns whether an RPC without a final answer has this id. */
    boolean isOpen(String id) {
        return open.containsKey(id);
    }

    /** Returns whether a write that may have run had this id. */
    boolean isRemembered(String id) {
        return remembered.contains(NameHash.of(id));
    }

    /** Records that an RPC has begun. */
    void begin(Exchange exchange) {
        open.put(exchange.id, exchange);
    }

    /**
     * Records that an RPC has its final answer or that its client has left; does nothing if that is
     * recorded already.
     *
     * @param remember whether it is a write that may have run or may run yet
     */
    void end(Exchange exchange, boolean remember) {
        if (open.remove(exchange.id, exchange) && remember) {
            remembered.add(NameHash.of(exchange.id));
            if (remembered.size() > MAX_REMEMBERED) {
                Iterator<Long> oldest = remembered.iterator();
                oldest.next();
                oldest.remove();
            }
        }
    }

    /** Makes an id free again whose write has not run and will not run. */
    void forget(String id) {
        remembered.remove(NameHash.of(id));
    }

    /** Returns the number of RPCs without a final answer. */
    int openCount() {
        return open.size();
    }

    /** Returns the RPCs without a final answer. */
    Collection<Exchange> openExchanges() {
        return List.copyOf(open.values());
    }
}
