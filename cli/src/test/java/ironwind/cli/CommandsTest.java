package ironwind.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

/** The commands as an operator calls them. */
class CommandsTest {
    @TempDir private Path folder;
    private final StringWriter out = new StringWriter();
    private final StringWriter errors = new StringWriter();

    private int run(String... words) {
        CommandLine line = Ironwind.line();
        line.setOut(new PrintWriter(out, true));
        line.setErr(new PrintWriter(errors, true));
        return line.execute(words);
    }

    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource({
        "--help, 0",
        "--version, 0",
        "serve --help, 0",
        "lab idle --help, 0",
        "generate-completion, 0",
        "nonsense, 2",
        "check, 2",
        "check nofile.hcl, 1",
        "serve --facts nofile.json, 1"
    })
    void theExitCodeTellsHowItWent(String words, int code) {
        assertThat(run(words.split(" "))).isEqualTo(code);
        assertThat((code == 0 ? out : errors).toString()).isNotBlank();
    }

    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource(
            delimiter = '|',
            value = {
                "idle {;connections = 18000;} | 0 | ",
                "idle {;conections = 18000;} | 1 | " + ":2: idle.conections is unknown here",
                "iddle {;};idle {;memory = 3;}| 1 | :1: the block iddle is unknown"
            })
    void aFileIsCheckedWithoutStarting(String text, int code, String told) throws IOException {
        Path file = folder.resolve("x.hcl");
        Files.writeString(file, text.replace(';', '\n'));
        assertThat(run("check", file.toString())).isEqualTo(code);
        assertThat(errors.toString()).contains(told == null ? "" : told);
        assertThat(errors.toString().lines().count())
                .isEqualTo(code == 0 ? 0 : text.contains("iddle") ? 2 : 1);
    }

    /** The measurement's own machinery, small: processes, crowds, figures. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void theIdleTrialRunsSmall() throws IOException {
        Path json = folder.resolve("figures.json");
        assertThat(
                        run(
                                "lab",
                                "idle",
                                "--small",
                                "--json",
                                json.toString(),
                                "--jar",
                                "now=../router/target/ironwind-router.jar"))
                .as(errors.toString())
                .isZero();
        assertThat(Files.readString(json))
                .contains(
                        "\"still_open\" : 50",
                        "\"what\" : \"wake\"",
                        "\"OK\" : 50",
                        "\"what\" : \"slow_readers\"");
    }
}
