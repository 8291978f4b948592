package ironwind.net;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** What the router took in, sent and answered since its start. */
public final class Counters {
    private final Map<Count, long[]> counts = new EnumMap<>(Count.class);
    private final Map<Ending, long[]> endings = new EnumMap<>(Ending.class);

    /** What is counted beside the endings of connections and their uses. */
    public enum Count {
        CLIENTS,
        RPCS,
        OK,
        PUSHED_BACK,
        ABORTED,
        LEFT,
        MALFORMED,
        CALL_OUTS,
        PROBES,
        HOST_CONNECTIONS,
        LISTS,
        FAULTS
    }

    void add(Count count) {
        counts.computeIfAbsent(count, key -> new long[1])[0]++;
    }

    void add(Ending ending) {
        endings.computeIfAbsent(ending, key -> new long[1])[0]++;
    }

    /** Every count by its name, in a fixed order. */
    public Map<String, Long> read() {
        Map<String, Long> all = new LinkedHashMap<>();
        for (Count count : Count.values()) {
            all.put(
                    count.name().toLowerCase(Locale.ROOT),
                    counts.getOrDefault(count, new long[1])[0]);
        }
        endings.forEach(
                (ending, count) ->
                        all.put("ended_" + ending.name().toLowerCase(Locale.ROOT), count[0]));
        return all;
    }

    @Override
    public String toString() {
        return read().entrySet().stream()
                .map(entry -> entry.getKey() + "=" + entry.getValue())
                .collect(Collectors.joining(" "));
    }
}
