package ironwind.net;

import io.netty.util.internal.PlatformDependent;
import ironwind.idle.Budget;
import ironwind.idle.Budget.Use;
import ironwind.idle.ConnectionState;
import ironwind.idle.Debtors;
import ironwind.idle.Keeper;
import ironwind.idle.Reason;
import ironwind.idle.SteadyTime;
import ironwind.idle.Turns;
import ironwind.pg.Encoder;
import ironwind.pg.Row;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What {@code SHOW} tells an operator, a table a question. */
final class Show {
    private static final List<String> NAME_AND_VALUE = List.of("name", "value");

    private final Counters counters;
    private final Keeper keeper;
    private final Budget budget;
    private final Debtors debtors;
    private final Turns turns;
    private final SteadyTime steady;
    private final LogicTask logic;

    Show(
            Counters counters,
            Keeper keeper,
            Budget budget,
            Debtors debtors,
            Turns turns,
            SteadyTime steady,
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
        long now = steady.at(System.nanoTime() / 1_000);
        for (ConnectionState standing : ConnectionState.values()) {
            rows.add(
                    List.of(
                            standing.label(),
                            Integer.toString(keeper.standing(standing)),
                            Long.toString(keeper.longest(standing, now).us() / 1_000)));
        }
        return rows;
    }

    private List<List<String>> idle() {
        List<List<String>> rows = new ArrayList<>();
        add(rows, "inside", keeper.inside());
        add(rows, "most", keeper.limits().connections());
        add(rows, "addresses", keeper.addresses());
        add(rows, "open_rpcs", logic.open());
        add(rows, "owed_clients", debtors.size());
        add(rows, "waiting_for_turn", turns.waiting());
        add(rows, "most_waiting_for_turn", turns.mostWaiting());
        add(rows, "turns_deferred", turns.deferred());
        add(rows, "turns_too_late", turns.shed());
        add(rows, "paused_ms", steady.leftOut().us() / 1_000);
        for (Reason reason : Reason.values()) {
            add(rows, "ended_" + reason.name().toLowerCase(Locale.ROOT), keeper.ended(reason));
        }
        return rows;
    }

    private List<List<String>> memory() {
        List<List<String>> rows = new ArrayList<>();
        for (Use use : Use.values()) {
            rows.add(
                    List.of(
                            use.label(),
                            Long.toString(budget.lent(use)),
                            Long.toString(budget.refused(use))));
        }
        Runtime runtime = Runtime.getRuntime();
        for (Object[] row :
                new Object[][] {
                    {"all", budget.sum()},
                    {"highest", budget.highest()},
                    {"limit", budget.all()},
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
