package ironwind.net;

import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.time.temporal.ChronoUnit;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes one line per event: time, level, event, then key=value pairs, or another form that a
 * {@link Sink} gives it. Warnings are rate-limited: one per second and event, with the number of
 * those that were left out since the last.
 */
public final class Log {
    private static final Duration WARN_INTERVAL = Duration.ofSeconds(1);

    /** Longest value in a line; what peers send may be far longer. */
    private static final int MAX_VALUE_CHARS = 2_000;

    private final Sink sink;
    private final InstantSource clock;
    private final Map<String, WarningState> warnings = new HashMap<>();

    /** When a warning was last logged, and how many were left out since. */
    private static final class WarningState {
        private Instant loggedAt = Instant.MIN;
        private int leftOut;
    }

    /** Severity of a line. */
    public enum Level {
        /** Normal operation. */
        INFO,
        /** A problem that the router handles; rate-limited. */
        WARN,
        /** A defect, or an RPC that is left unanswered. */
        ERROR
    }

    /** Formats and writes lines. */
    public interface Sink {
        /**
         * Writes a line.
         *
         * @param pairs names and values, alternating
         */
        void write(Level level, String event, Object... pairs);
    }

    /** Creates a log that writes lines of key=value pairs to a stream. */
    public Log(PrintStream out) {
        this(out, InstantSource.system());
    }

    /** Creates a log whose lines a sink formats and writes. */
    public Log(Sink sink) {
        this(sink, InstantSource.system());
    }

    Log(PrintStream out, InstantSource clock) {
        this((level, event, pairs) -> out.println(format(clock, level, event, pairs)), clock);
    }

    private Log(Sink sink, InstantSource clock) {
        this.sink = sink;
        this.clock = clock;
    }

    /**
     * Also logs, as warnings, what libraries log with java.util.logging, and removes the handlers
     * of java.util.logging: they open files to write a line, which fails if no descriptors are left
     * and then ends the thread.
     *
     * @return this log
     */
    public Log withLibraryLogs() {
        LogManager.getLogManager().reset();
        Logger.getLogger("")
                .addHandler(
                        new Handler() {
                            @Override
                            public void publish(LogRecord entry) {
                                if (isLoggable(entry)) {
                                    warn(
                                            "library",
                                            "logger",
                                            entry.getLoggerName(),
                                            "what",
                                            entry.getMessage(),
                                            "cause",
                                            entry.getThrown());
                                }
                            }

                            @Override
                            public void flush() {}

                            @Override
                            public void close() {}
                        });
        return this;
    }

    /**
     * Logs an event of normal operation.
     *
     * @param pairs names and values, alternating
     */
    public void info(String event, Object... pairs) {
        sink.write(Level.INFO, event, pairs);
    }

    /**
     * Logs a warning, or counts it as left out if this event was logged within the last second.
     *
     * @param pairs names and values, alternating
     */
    public synchronized void warn(String event, Object... pairs) {
        WarningState state = warnings.computeIfAbsent(event, key -> new WarningState());
        Instant now = clock.instant();
        if (now.isBefore(state.loggedAt.plus(WARN_INTERVAL))) {
            state.leftOut++;
            return;
        }
        Object[] all = pairs;
        if (state.leftOut > 0) {
            all = Arrays.copyOf(pairs, pairs.length + 2);
            all[pairs.length] = "left_out";
            all[pairs.length + 1] = state.leftOut;
        }
        sink.write(Level.WARN, event, all);
        state.loggedAt = now;
        state.leftOut = 0;
    }

    /** Logs an unexpected exception with the location at which it was thrown. */
    public void error(String event, Throwable cause) {
        StackTraceElement[] trace = cause.getStackTrace();
        sink.write(Level.ERROR, event, "fault", cause, "at", trace.length == 0 ? "" : trace[0]);
    }

    /**
     * Logs an error that is not an exception. Errors are never left out.
     *
     * @param pairs names and values, alternating
     */
    public void error(String event, Object... pairs) {
        sink.write(Level.ERROR, event, pairs);
    }

    private static String format(InstantSource clock, Level level, String event, Object... pairs) {
        StringBuilder line =
                new StringBuilder(96)
                        .append(clock.instant().truncatedTo(ChronoUnit.MILLIS))
                        .append(' ')
                        .append(level)
                        .append(' ')
                        .append(event);
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            line.append(' ')
                    .append(pairs[i])
                    .append('=')
                    .append(quote(String.valueOf(pairs[i + 1])));
        }
        return line.toString();
    }

    private static String quote(String text) {
        String value =
                text.length() > MAX_VALUE_CHARS ? text.substring(0, MAX_VALUE_CHARS) + "..." : text;
        boolean unquoted =
                !value.isEmpty()
                        && value.chars()
                                .allMatch(
                                        c ->
                                                c > ' ' && c != '"' && c != '=' && c != '\\'
                                                        && c < 0x7f);
        return unquoted
                ? value
                : '"'
                        + value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n")
                        + '"';
    }
}
