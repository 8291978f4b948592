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
 * One line an event: time, level, event, then key=value pairs, or what else a {@link Sink} makes of
 * it. A warning that comes often is told once a second, with how many of it were left out since.
 */
public final class Log {
    private static final Duration WARN_EVERY = Duration.ofSeconds(1);

    private final Sink sink;
    private final InstantSource clock;
    private final Map<String, Told> warnings = new HashMap<>();

    /** When a warning was last told, and how often it has come since. */
    private static final class Told {
        private Instant at = Instant.MIN;
        private int leftOut;
    }

    /** How much a line matters. */
    public enum Level {
        INFO,
        WARN,
        ERROR
    }

    /** Where lines go, in which form. */
    public interface Sink {
        /** Pairs are a name and a value each. */
        void write(Level level, String event, Object... pairs);
    }

    public Log(PrintStream out) {
        this(out, InstantSource.system());
    }

    /** With lines that a library writes. */
    public Log(Sink sink) {
        this(sink, InstantSource.system());
    }

    Log(PrintStream out, InstantSource clock) {
        this((level, event, pairs) -> out.println(plain(clock, level, event, pairs)), clock);
    }

    private Log(Sink sink, InstantSource clock) {
        this.sink = sink;
        this.clock = clock;
    }

    /**
     * Takes over what libraries log, by way of java.util.logging: its own way of writing a line
     * opens files, and so fails just where descriptors have run out, and takes the thread along.
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

    /** Pairs are a name and a value each. */
    public void info(String event, Object... pairs) {
        sink.write(Level.INFO, event, pairs);
    }

    public synchronized void warn(String event, Object... pairs) {
        Told told = warnings.computeIfAbsent(event, key -> new Told());
        Instant now = clock.instant();
        if (now.isBefore(told.at.plus(WARN_EVERY))) {
            told.leftOut++;
            return;
        }
        Object[] all = pairs;
        if (told.leftOut > 0) {
            all = Arrays.copyOf(pairs, pairs.length + 2);
            all[pairs.length] = "left_out";
            all[pairs.length + 1] = told.leftOut;
        }
        sink.write(Level.WARN, event, all);
        told.at = now;
        told.leftOut = 0;
    }

    /** An exception that nothing expected, with its place. */
    public void error(String event, Throwable fault) {
        StackTraceElement[] trace = fault.getStackTrace();
        sink.write(Level.ERROR, event, "fault", fault, "at", trace.length == 0 ? "" : trace[0]);
    }

    /** What must not be, and is no exception: told each time. */
    public void error(String event, Object... pairs) {
        sink.write(Level.ERROR, event, pairs);
    }

    private static String plain(InstantSource clock, Level level, String event, Object... pairs) {
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
                    .append(quoted(String.valueOf(pairs[i + 1])));
        }
        return line.toString();
    }

    private static String quoted(String value) {
        boolean plain =
                !value.isEmpty()
                        && value.chars()
                                .allMatch(
                                        c ->
                                                c > ' ' && c != '"' && c != '=' && c != '\\'
                                                        && c < 0x7f);
        return plain
                ? value
                : '"'
                        + value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n")
                        + '"';
    }
}
