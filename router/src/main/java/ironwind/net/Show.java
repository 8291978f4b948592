package ironwind.net;

import io.netty.util.internal.PlatformDependent;
import ironwind.idle.CloseReason;
import ironwind.idle.ConnectionManager;
import ironwind.idle.ConnectionState;
import ironwind.idle.MemoryBudget;
import ironwind.idle.MemoryBudget.Use;
import ironwind.idle.MonotonicTime;
import ironwind.idle.ReadScheduler;
import ironwind.idle.UnsentAnswers;
import ironwind.pg.Encoder;
import ironwind.pg.Row;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What {@code SHOW} tells an operator, a table a question. */
final class Show {
    private static final List<String> NAME_AND_VALUE = List.of("name", "value");

    private final Counters counters;
    private final ConnectionManager keeper;
    private final MemoryBudget budget;
    private final UnsentAnswers debtors;
    private final ReadScheduler turns;
    private final MonotonicTime steady;
    private final LogicTask logic;

    Show(
            Counters counters,
            ConnectionManager keeper,
            MemoryBudget budget,
            UnsentAnswers debtors,
            ReadScheduler turns,
            MonotonicTime steady,
            LogicTask logic) {
        this.counters = counters;
        this.keeper = keeper;
        this.budget = budget;
        this.debtors = debtors;
        this.turns = turns;
        this.steady = steady;
        this.logic = logic;
    }

    /**
     * The whole answer to {@code SHOW stats}, {@code clients}, {@code idle} or {@code memory}; null
     * to all else.
     */
    byte[] answerTo(String text) {
        String[] words = text.replace(";", "").strip().toLowerCase(Locale.ROOT).split("\\s+");
        if (words.length != 2 || !words[0].equals("show")) {
            return null;
        }
        return switch (words[1]) {
            case "stats" -> Encoder.row(Row.ofText("stats", counters.toString()));
            case "clients" ->
                    Encoder.table(
                            List.of("standing", "connections", "longest_in_it_ms"), clients());
            case "idle" -> Encoder.table(NAME_AND_VALUE, idle());
            case "memory" -> Encoder.table(List.of("use", "bytes", "refused"), memory());
            default -> null;
        };
    }

    private List<List<String>> clients() {
        List<List<String>> rows = new ArrayList<>();
        long now = steady.advance(System.nanoTime() / 1_000);
        for (ConnectionState standing : ConnectionState.values()) {
            rows.add(
                    List.of(
                            standing.label(),
                            Integer.toString(keeper.countInState(standing)),
                            Long.toString(keeper.longestInState(standing, now).us() / 1_000)));
        }
        return rows;
    }

    private List<List<String>> idle() {
        List<List<String>> rows = new ArrayList<>();
        add(rows, "inside", keeper.connectionCount());
        add(rows, "most", keeper.limits().maxConnections());
        add(rows, "addresses", keeper.addressCount());
        add(rows, "open_rpcs", logic.openRpcCount());
        add(rows, "owed_clients", debtors.clientCount());
        add(rows, "waiting_for_turn", turns.queueSize());
        add(rows, "most_waiting_for_turn", turns.peakQueueSize());
        add(rows, "turns_deferred", turns.deferredReads());
        add(rows, "turns_too_late", turns.lateReads());
        add(rows, "paused_ms", steady.skipped().us() / 1_000);
        for (CloseReason reason : CloseReason.values()) {
            add(
                    rows,
                    "ended_" + reason.name().toLowerCase(Locale.ROOT),
                    keeper.closedCount(reason));
        }
        return rows;
    }

    private List<List<String>> memory() {
        List<List<String>> rows = new ArrayList<>();
        for (Use use : Use.values()) {
            rows.add(
                    List.of(
                            use.label(),
                            Long.toString(budget.reserved(use)),
                            Long.toString(budget.refusedCount(use))));
        }
        Runtime runtime = Runtime.getRuntime();
        for (Object[] row :
                new Object[][] {
                    {"all", budget.totalReserved()},
                    {"highest", budget.peakReserved()},
                    {"limit", budget.limit()},
                    {"heap", runtime.totalMemory() - runtime.freeMemory()},
                    {"heap_limit", runtime.maxMemory()},
                    {"direct", Math.max(0, PlatformDependent.usedDirectMemory())}
                }) {
            rows.add(List.of(row[0].toString(), row[1].toString(), "0"));
        }
        return rows;
    }

    private static void add(List<List<String>> rows, String name, long value) {
        rows.add(List.of(name, Long.toString(value)));
    }
}
