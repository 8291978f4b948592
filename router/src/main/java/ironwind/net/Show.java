package ironwind.net;

import io.netty.util.internal.PlatformDependent;
import ironwind.idle.CloseReason;
import ironwind.idle.CommandScheduler;
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

/** Answers the {@code SHOW} commands with which operators inspect the router. */
final class Show {
    private static final List<String> NAME_AND_VALUE = List.of("name", "value");

    /** Longest command; the cost of splitting a text into words grows with it. */
    private static final int MAX_COMMAND_CHARS = 64;

    private final Counters counters;
    private final ConnectionManager connectionManager;
    private final MemoryBudget budget;
    private final UnsentAnswers unsentAnswers;
    private final ReadScheduler readScheduler;
    private final CommandScheduler commandScheduler;
    private final MonotonicTime monotonicTime;
    private final LogicTask logicTask;

    /** Creates the commands for the statistics of the given components. */
    Show(
            Counters counters,
            ConnectionManager connectionManager,
            MemoryBudget budget,
            UnsentAnswers unsentAnswers,
            ReadScheduler readScheduler,
            CommandScheduler commandScheduler,
            MonotonicTime monotonicTime,
            LogicTask logicTask) {
        this.counters = counters;
        this.connectionManager = connectionManager;
        this.budget = budget;
        this.unsentAnswers = unsentAnswers;
        this.readScheduler = readScheduler;
        this.commandScheduler = commandScheduler;
        this.monotonicTime = monotonicTime;
        this.logicTask = logicTask;
    }

    /**
     * Returns the complete answer to {@code SHOW stats}, {@code SHOW clients}, {@code SHOW idle} or
     * {@code SHOW memory}, or null for any other statement.
     */
    byte[] answerTo(String text) {
        if (text.length() > MAX_COMMAND_CHARS) {
            return null;
        }
        String[] words = text.replace(";", "").strip().toLowerCase(Locale.ROOT).split("\\s+");
        if (words.length != 2 || !words[0].equals("show")) {
            return null;
        }
        return switch (words[1]) {
            case "stats" -> Encoder.singleRowResult(Row.ofText("stats", counters.toString()));
            case "clients" ->
                    Encoder.tableResult(
                            List.of("standing", "connections", "longest_in_it_ms"), clients());
            case "idle" -> Encoder.tableResult(NAME_AND_VALUE, idle());
            case "memory" -> Encoder.tableResult(List.of("use", "bytes", "refused"), memory());
            default -> null;
        };
    }

    private List<List<String>> clients() {
        List<List<String>> rows = new ArrayList<>();
        long now = monotonicTime.advance(System.nanoTime() / 1_000);
        for (ConnectionState state : ConnectionState.values()) {
            rows.add(
                    List.of(
                            state.label(),
                            Integer.toString(connectionManager.countInState(state)),
                            Long.toString(
                                    connectionManager.longestInState(state, now).us() / 1_000)));
        }
        return rows;
    }

    private List<List<String>> idle() {
        List<List<String>> rows = new ArrayList<>();
        add(rows, "inside", connectionManager.connectionCount());
        add(rows, "most", connectionManager.limits().maxConnections());
        add(rows, "addresses", connectionManager.addressCount());
        add(rows, "open_rpcs", logicTask.openRpcCount());
        add(rows, "owed_clients", unsentAnswers.clientCount());
        add(rows, "waiting_for_turn", readScheduler.queueSize());
        add(rows, "most_waiting_for_turn", readScheduler.peakQueueSize());
        add(rows, "turns_deferred", readScheduler.deferredReads());
        add(rows, "turns_too_late", readScheduler.overdueReads());
        add(rows, "waiting_with_commands", commandScheduler.queueSize());
        add(rows, "commands_deferred", commandScheduler.deferrals());
        add(rows, "paused_ms", monotonicTime.skipped().us() / 1_000);
        for (CloseReason reason : CloseReason.values()) {
            add(
                    rows,
                    "ended_" + reason.name().toLowerCase(Locale.ROOT),
                    connectionManager.closedCount(reason));
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
