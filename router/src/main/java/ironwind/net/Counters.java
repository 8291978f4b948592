package ironwind.net;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;

/** Counts of the router's events since its start. */
public final class Counters {
    private final Map<Count, long[]> counts = new EnumMap<>(Count.class);
    private final Map<Ending, long[]> endings = new EnumMap<>(Ending.class);

    /** Counted events other than the {@link Ending}s of connections and requests. */
    public enum Count {
        /** Client connections that were accepted. */
        CLIENTS("clients"),
        /** RPCs of clients that arrived. */
        RPCS("rpcs"),
        /** RPCs that were answered ok. */
        OK("ok"),
        /** RPCs that were pushed back. */
        PUSHED_BACK("pushed_back"),
        /** RPCs that were aborted. */
        ABORTED("aborted"),
        /** RPCs whose client disconnected before the answer. */
        ABANDONED("left"),
        /**
         * Messages and statements of clients that are malformed or unsupported, and messages that
         * arrived too slowly or found no memory.
         */
        MALFORMED("malformed"),
        /** Call-outs that were sent or attempted. */
        CALL_OUTS("call_outs"),
        /** Probes that were sent or attempted. */
        PROBES("probes"),
        /** Connections to hosts that were opened. */
        HOST_CONNECTIONS("host_connections"),
        /** Updates from discovery that are full lists or name at least one host. */
        DISCOVERY_UPDATES("lists"),
        /** Unexpected exceptions. */
        FAULTS("faults");

        private final String label;

        Count(String label) {
            this.label = label;
        }

        /** Returns the name that {@code SHOW stats} prints; it may differ from the constant's. */
        public String label() {
            return label;
        }
    }

    void add(Count count) {
        counts.computeIfAbsent(count, key -> new long[1])[0]++;
    }

    void add(Ending ending) {
        endings.computeIfAbsent(ending, key -> new long[1])[0]++;
    }

    /** Returns all counts, and those endings that have occurred, by name in a fixed order. */
    public Map<String, Long> read() {
        Map<String, Long> all = new LinkedHashMap<>();
        for (Count count : Count.values()) {
            all.put(count.label(), counts.getOrDefault(count, new long[1])[0]);
        }
        endings.forEach((ending, count) -> all.put("ended_" + ending.label(), count[0]));
        return all;
    }

    @Override
    public String toString() {
        return read().entrySet().stream()
                .map(entry -> entry.getKey() + "=" + entry.getValue())
                .collect(Collectors.joining(" "));
    }
}
