package ironwind.adapter;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Replies to batches of the simulator, and errors for malformed lines. */
class AdapterTest {
    private static final String SETUP =
            "SPAWN\trouter=3\tentropy=1\tcaps.most_tries=3\textra.read_level=loose"
                    + "\tlanes.count=1\tlanes.0.effect=retryable\tlanes.0.deadline_us=1000000"
                    + "\tpeers_total=1\tnews=1\n"
                    + "DEFINE_LIST\tref=0\telements=1\nITEM\thost=10.0.0.1:1\tshard=4\n"
                    + "ROSTER_CHANGE\trouter=3\tscope=0\trevision=1\tref=0\n";
    private static final String CALL = "CALL\trouter=3\ttxn=00000000000000aa\tlane=0\tcluster=4\n";

    private final StringBuilder errors = new StringBuilder();
    private int code;

    private String run(String... batches) throws IOException {
        StringBuilder input = new StringBuilder();
        for (int i = 0; i < batches.length; i++) {
            input.append("FRAME\tclock_us=")
                    .append(1_000_000 + 5_000 * i)
                    .append('\n')
                    .append(batches[i])
                    .append("OVER_TO_YOU\n\n");
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        byte[] bytes = input.toString().getBytes(StandardCharsets.UTF_8);
        code = new Adapter(new ByteArrayInputStream(bytes), out).run(errors);
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void everyBatchGetsOneReply() throws IOException {
        assertThat(run("", "")).isEqualTo("NEXT\nNEXT\n");
        assertThat(code).isZero();
    }

    @Test
    void callIsSentToHostAndVerdictEndsIt() throws IOException {
        String verdict =
                "VERDICT\trouter=3\ttxn=00000000000000aa\tseq_no=0\thost=10.0.0.1:1"
                        + "\tcode=delivered\tfinal=1\n";
        String reply =
                run(
                        SETUP + CALL,
                        verdict,
                        verdict + "CLIENT_LEFT\trouter=3\ttxn=00000000000000aa\n");
        assertThat(reply)
                .containsOnlyOnce("HAND_OFF\trouter=3\ttxn=00000000000000aa\thost=10.0.0.1:1");
        assertThat(reply).doesNotContain("DECLINE", "END_FAILED", "INTERNAL_ERROR");
        assertThat(code).isZero();
    }

    @Test
    void callIsNotSentAfterRouterIsStopped() throws IOException {
        assertThat(run(SETUP + CALL + "DOWN\trouter=3\n")).isEqualTo("NEXT\n");
    }

    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource(
            delimiter = '|',
            value = {
                "CALL router=3 lane=0 cluster=4 | field 'txn' is missing",
                "CALL router=3 txn=aa lane=7 cluster=4 | field 'lane' is out of range: 7",
                "CALL router=x txn=aa | field 'router' is not a whole number: x",
                "CALL router=9 txn=aa | field 'router' is not a running router: 9",
                "VERDICT router=3 txn=aa seq_no=0 code=maybe | field 'code' has an unknown value: maybe",
                "ROSTER_CHANGE router=3 scope=2 ref=5 | field 'ref' is not a defined host list",
                "DEFINE_LIST ref=0 elements=2 | field 'elements' announces 2 ITEM lines, but 0 followed",
                "PING_RESULT router=3 host=h code=delivered usage=x0 "
                        + "| field 'usage' is not a list of name:value pairs: x0",
                "NONSENSE router=3 | field 'name' is not a known message: NONSENSE"
            })
    void malformedLineIsReportedWithLineAndField(String line, String message) throws IOException {
        run(SETUP + line.replace(' ', '\t') + "\n");
        assertThat(errors.toString()).startsWith("ironwind: line ").contains(message);
        assertThat(code).isEqualTo(1);
    }
}
