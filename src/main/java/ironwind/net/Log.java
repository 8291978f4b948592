package ironwind.net;

import java.io.PrintStream;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** One line an event: time, level, event, then key=value pairs. */
public final class Log {
    private final PrintStream out;

    public Log(PrintStream out) {
        this.out = out;
    }

    /** Pairs are a name and a value each. */
    public void info(String event, Object... pairs) {
        line("INFO", event, pairs);
    }

    public void warn(String event, Object... pairs) {
        line("WARN", event, pairs);
    }

    /** An exception that nothing expected, with its place. */
    public void error(String event, Throwable fault) {
        StackTraceElement[] trace = fault.getStackTrace();
        line("ERROR", event, "fault", fault, "at", trace.length == 0 ? "" : trace[0]);
    }

    private void line(String level, String event, Object... pairs) {
        StringBuilder line = new StringBuilder(96).append(Instant.now().truncatedTo(ChronoUnit.MILLIS)).append(' ')
                .append(level).append(' ').append(event);
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            line.append(' ').append(pairs[i]).append('=').append(quoted(String.valueOf(pairs[i + 1])));
        }
        out.println(line);
    }

    private static String quoted(String value) {
        boolean plain = !value.isEmpty()
                && value.chars().allMatch(c -> c > ' ' && c != '"' && c != '=' && c != '\\' && c < 0x7f);
        return plain ? value : '"' + value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
    }
}
