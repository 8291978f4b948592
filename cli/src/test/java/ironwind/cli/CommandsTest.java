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

/** Runs the commands as an operator does. */
class CommandsTest {
    @TempDir private Path directory;
    private final StringWriter out = new StringWriter();
    private final StringWriter errors = new StringWriter();

    private int run(String... arguments) {
        CommandLine command = Ironwind.commandLine();
        command.setOut(new PrintWriter(out, true));
        command.setErr(new PrintWriter(errors, true));
        return command.execute(arguments);
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
    void exitCodeReportsSuccessOrFailure(String arguments, int code) {
        assertThat(run(arguments.split(" "))).isEqualTo(code);
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
    void checkReportsErrorsWithoutStartingARouter(String text, int code, String message)
            throws IOException {
        Path file = directory.resolve("x.hcl");
        Files.writeString(file, text.replace(';', '\n'));
        assertThat(run("check", file.toString())).isEqualTo(code);
        assertThat(errors.toString()).contains(message == null ? "" : message);
        assertThat(errors.toString().lines().count())
                .isEqualTo(code == 0 ? 0 : text.contains("iddle") ? 2 : 1);
    }

    /** Smoke test of the idle benchmark: its processes, client workers and JSON results. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void idleBenchmarkRunsWithSmallSettings() throws IOException {
        Path json = directory.resolve("figures.json");
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
