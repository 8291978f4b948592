package ironwind.start;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import ironwind.hcl.HclException;
import ironwind.idle.Limits;
import ironwind.model.Span;
import ironwind.start.Installation.LogForm;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The installation's own file. */
class InstallationTest {
    private static final Limits USUAL =
            Limits.of(500, 192, Span.ofMillis(800), Span.ofMillis(1_500));

    @TempDir private Path folder;

    private Installation read(String text) throws IOException {
        Path file = folder.resolve("i.hcl");
        Files.writeString(file, text);
        return Installation.read(file, USUAL);
    }

    @Test
    void whatIsNotSaidStaysAsItWas() throws IOException {
        assertThat(read("")).isEqualTo(new Installation(USUAL, LogForm.PAIRS));
        Installation said =
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
        assertThat(said.logForm()).isEqualTo(LogForm.JSON);
        assertThat(said.idle())
                .isEqualTo(
                        new Limits(
                                18_000,
                                4_000,
                                0,
                                2_000,
                                200,
                                USUAL.startupTime(),
                                USUAL.messageTime(),
                                USUAL.greetedTime(),
                                Span.ofMillis(12 * 3_600_000),
                                USUAL.crowdedTime(),
                                0.5,
                                USUAL.memory(),
                                USUAL.owedEach(),
                                USUAL.owedAll(),
                                USUAL.slowReaderTime(),
                                USUAL.openRpcs(),
                                USUAL.turnTime(),
                                USUAL.crowdTime(),
                                USUAL.activeTime(),
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
                "served_time = \"1s\";crowded_time = \"2s\" | 3: idle.crowded_time: is longer than served_time",
                "new_at_once = 5 | 2: idle.new_at_once: says nothing without new_per_second"
            })
    void whatDoesNotGoTogetherIsComplainedOf(String text, String told) {
        HclException fault =
                catchThrowableOfType(
                        HclException.class,
                        () -> read("idle {\n" + text.replace(';', '\n') + "\n}"));
        assertThat(fault.messages()).hasSize(1);
        assertThat(fault.messages().get(0)).contains("i.hcl:" + told);
    }

    /** Guards against limits by default that the program's own checks would not let pass. */
    @ParameterizedTest
    @CsvSource({"32, 250, 250", "192, 800, 1500", "2048, 1, 60000"})
    void theDefaultsPassTheChecks(long memory, long shortest, long longest) throws IOException {
        Limits limits = Limits.of(100, memory, Span.ofMillis(shortest), Span.ofMillis(longest));
        Path file = folder.resolve("empty.hcl");
        Files.writeString(file, "idle {\n}\n");
        assertThat(Installation.read(file, limits).idle()).isEqualTo(limits);
    }
}
