package ironwind.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LogTest {
    private final ByteArrayOutputStream lines = new ByteArrayOutputStream();
    private Instant now = Instant.EPOCH;
    private final Log log = new Log(new PrintStream(lines, true), () -> now);

    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource(
            quoteCharacter = '`',
            value = {
                "plain, plain",
                "two words, \"two words\"",
                "a=b, \"a=b\"",
                "say \"no\", \"say \\\"no\\\"\"",
                "``, \"\""
            })
    void quotesValuesWhereNecessary(String value, String expected) {
        log.info("event", "key", value, "count", 3);
        assertThat(lines.toString().strip())
                .isEqualTo("1970-01-01T00:00:00Z INFO event key=" + expected + " count=3");
    }

    /**
     * Guards against a library's warning that ends a thread: java.util.logging opens files to write
     * it, which fails if no descriptors are left.
     */
    @Test
    void logsWarningsOfLibraries() {
        log.withLibraryLogs();
        Logger.getLogger("io.netty.any")
                .log(Level.WARNING, "Failed to accept", new IOException("Too many open files"));
        assertThat(lines.toString())
                .contains(
                        "WARN library logger=io.netty.any what=\"Failed to accept\"",
                        "Too many open files");
    }

    /** Guards against a flood of one warning that costs more than the problem it reports. */
    @Test
    void limitsEachWarningToOnePerSecondAndCountsTheOthers() {
        for (int i = 0; i < 25; i++) {
            log.warn("short", "n", i);
            log.warn(i == 3 ? "other" : "short");
            now = now.plusMillis(100);
        }
        assertThat(lines.toString().lines())
                .hasSize(4)
                .anyMatch(line -> line.endsWith("WARN other"))
                .anyMatch(line -> line.endsWith("WARN short n=10 left_out=18"))
                .anyMatch(line -> line.endsWith("WARN short n=20 left_out=19"));
    }
}
