package ironwind.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import ironwind.config.OperatorSettings.LogFormat;
import ironwind.hcl.HclException;
import ironwind.idle.Limits;
import ironwind.model.Span;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Defaults, values and consistency checks of the settings file. */
class OperatorSettingsTest {
    private static final Limits DEFAULTS =
            Limits.defaults(500, 192, Span.ofMillis(800), Span.ofMillis(1_500));

    @TempDir private Path folder;

    private OperatorSettings read(String text) throws IOException {
        Path file = folder.resolve("i.hcl");
        Files.writeString(file, text);
        return OperatorSettings.read(file, DEFAULTS);
    }

    @Test
    void absentSettingsKeepTheirDefaults() throws IOException {
        assertThat(read("")).isEqualTo(new OperatorSettings(DEFAULTS, LogFormat.PAIRS));
        OperatorSettings settings =
                read(
                        """
                log {
                  form = "json"
                }
                idle {
                  connections    = 18000
                  per_address    = 4000
                  new_per_second = 2000
                  served_time    = "12h"
                  keepalive      = "60s"
                  send_buffer    = "64KiB"
                }
                """);
        assertThat(settings.logFormat()).isEqualTo(LogFormat.JSON);
        assertThat(settings.clientLimits())
                .isEqualTo(
                        new Limits(
                                18_000,
                                4_000,
                                0,
                                2_000,
                                200,
                                DEFAULTS.startupTimeout(),
                                DEFAULTS.messageTimeout(),
                                DEFAULTS.firstRequestTimeout(),
                                Span.ofMillis(12 * 3_600_000),
                                DEFAULTS.crowdedIdleTimeout(),
                                0.5,
                                DEFAULTS.memoryBytes(),
                                DEFAULTS.maxUnsentPerClient(),
                                DEFAULTS.maxUnsentTotal(),
                                DEFAULTS.slowReaderTimeout(),
                                DEFAULTS.openRpcThreshold(),
                                DEFAULTS.turnDuration(),
                                DEFAULTS.maxQueueTime(),
                                DEFAULTS.activeWindow(),
                                Span.ofMillis(60_000),
                                64 << 10));
    }

    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource(
            delimiter = '|',
            value = {
                "connections = 10;per_address = 11 | 3: idle.per_address: is more than",
                "connections = 10;per_customer = 11 | 3: idle.per_customer: is more than connections",
                "memory = \"1MiB\";owed_all = \"1MiB\" | 3: idle.owed_all: is not less than memory",
                "owed_each = \"1GiB\" | 2: idle.owed_each: is more than owed_all",
                "served_time = \"1s\";crowded_time = \"2s\" "
                        + "| 3: idle.crowded_time: is longer than served_time",
                "new_at_once = 5 | 2: idle.new_at_once: has no effect without new_per_second"
            })
    void inconsistentSettingsAreReported(String text, String message) {
        HclException exception =
                catchThrowableOfType(
                        HclException.class,
                        () -> read("idle {\n" + text.replace(';', '\n') + "\n}"));
        assertThat(exception.messages()).hasSize(1);
        assertThat(exception.messages().get(0)).contains("i.hcl:" + message);
    }

    /** Guards against default limits that the consistency checks would reject. */
    @ParameterizedTest
    @CsvSource({"32, 250, 250", "192, 800, 1500", "2048, 1, 60000"})
    void defaultsPassTheChecks(long memory, long shortest, long longest) throws IOException {
        Limits limits =
                Limits.defaults(100, memory, Span.ofMillis(shortest), Span.ofMillis(longest));
        Path file = folder.resolve("empty.hcl");
        Files.writeString(file, "idle {\n}\n");
        assertThat(OperatorSettings.read(file, limits).clientLimits()).isEqualTo(limits);
    }
}
