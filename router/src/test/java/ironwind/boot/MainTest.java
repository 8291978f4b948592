package ironwind.boot;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Commands, output and exit codes of the router's jar. */
class MainTest {
    @ParameterizedTest(name = "{0}: exit {1}")
    @CsvSource({
        "'', 2, '', usage:",
        "what, 2, '', usage:",
        "--help, 0, usage:, ''",
        "--version, 0, ironwind, ''",
        "adapter, 0, '', ''"
    })
    void commandsAndExitCodes(
            String commandLine, int expectedCode, String expectedOutput, String expectedErrors)
            throws IOException {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        String[] args = commandLine.isEmpty() ? new String[0] : commandLine.split(" ");
        int code =
                Main.run(
                        args,
                        new ByteArrayInputStream(new byte[0]),
                        output,
                        new PrintStream(errors, true));
        assertThat(code).isEqualTo(expectedCode);
        assertThat(output.toString()).startsWith(expectedOutput);
        assertThat(errors.toString()).startsWith(expectedErrors);
    }
}
