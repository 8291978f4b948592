package ironwind.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.json.JsonObject;
import ironwind.config.OperatorSettings.LogFormat;
import ironwind.net.Log;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Log lines written through Logback must be machine-readable. */
class LogbackSinkTest {
    @ParameterizedTest
    @EnumSource(LogFormat.class)
    void keysAndValuesAreWrittenUnchanged(LogFormat format) {
        PrintStream originalErr = System.err;
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        try {
            System.setErr(new PrintStream(written, true, StandardCharsets.UTF_8));
            Log log = new Log(new LogbackSink(format));
            log.info("ready", "name", "n1", "words", "two \"words\"");
            log.warn("client_refused", "open", 7);
            log.warn("client_refused", "open", 8);
        } finally {
            System.setErr(originalErr);
        }
        String[] lines = written.toString(StandardCharsets.UTF_8).split("\n");
        assertThat(lines).hasSize(2);
        if (format == LogFormat.JSON) {
            JsonObject first = new JsonObject(lines[0]);
            assertThat(first.getString("message")).isEqualTo("ready");
            assertThat(first.getString("level")).isEqualTo("INFO");
            assertThat(first.getJsonArray("kvpList").encode())
                    .isEqualTo("[{\"name\":\"n1\"},{\"words\":\"two \\\"words\\\"\"}]");
        } else {
            assertThat(lines[0])
                    .matches("20\\S+Z INFO ready name=\"n1\" words=\"two .*words.*\"\\s*");
            assertThat(lines[1]).matches("20\\S+Z WARN client_refused open=\"7\"\\s*");
        }
    }
}
