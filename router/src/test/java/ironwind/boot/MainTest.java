package ironwind.boot;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MainTest {
    @ParameterizedTest(name = "{0}: exit {1}")
    @CsvSource({
        "'', 2, '', usage:",
        "what, 2, '', usage:",
        "--help, 0, usage:, ''",
        "--version, 0, ironwind, ''",
        "adapter, 0, '', ''"
    })
    void subcommandsAndExitCodes(String words, int code, String out, String err)
            throws IOException {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        String[] args = words.isEmpty() ? new String[0] : words.split(" ");
        int actual =
                Main.run(
                        args,
                        new ByteArrayInputStream(new byte[0]),
                        output,
                        new PrintStream(errors, true));
        assertThat(actual).isEqualTo(code);
        assertThat(output.toString()).startsWith(out);
        assertThat(errors.toString()).startsWith(err);
    }
}
