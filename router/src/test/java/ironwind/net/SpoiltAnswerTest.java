package ironwind.net;

import static org.assertj.core.api.Assertions.assertThat;

import ironwind.pg.Encoder;
import ironwind.pg.Row;
import java.util.Map;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Answers of a host whose parts are valid by their length, but far larger than any host's. */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SpoiltAnswerTest extends RouterFixture {
    private static final int PROMPT_MS = 900;

    private void assertOthersAreServedAfter(byte[] spoiltAnswer) throws Exception {
        replica.scriptedBytes = spoiltAnswer;
        replica.actions = new String[] {"scripted bytes", "row"};
        PgConnection client = publishHostsAndConnect();
        client.send(request(READ_TEMPLATE, PROMPT_MS));
        assertThat(client.readResponse()).isEqualTo("TDCZ");
        assertReadSucceeds(client);
        assertReadSucceeds(connectClient());
        assertThat(logOutput.toString()).doesNotContain("fault", "library");
    }

    /** Guards against one long command tag that ends the event loop, so that nobody is answered. */
    @ParameterizedTest
    @ValueSource(ints = {1_000, 20_000, 200_000})
    void longCommandTagEndsOnlyItsConnection(int repetitions) throws Exception {
        String tag = "SELECT" + " 1".repeat(repetitions);
        Row row = Row.ofText("val", "x");
        assertOthersAreServedAfter(
                Encoder.singleRowResult(new Row(row.description(), row.data(), tag)));
    }

    /** Guards against one long position that keeps the event loop busy. */
    @ParameterizedTest
    @ValueSource(ints = {10_000, 500_000})
    void longPositionIsIgnored(int digits) throws Exception {
        assertOthersAreServedAfter(answerWithPosition("1".repeat(digits)));
    }

    /** Guards against an exponent that overflows, after which the end of a call-out gets lost. */
    @ParameterizedTest
    @ValueSource(strings = {"1E+2147483647", "1E+2147483646", "1E-2147483647", "-1E+2147483647"})
    void positionWithHugeExponentIsIgnored(String position) throws Exception {
        assertOthersAreServedAfter(answerWithPosition(position));
        assertThat(replica.requests).hasSize(3);
    }

    private static byte[] answerWithPosition(String position) {
        return Encoder.singleRowResult(
                Row.ofText("val", "x"), Map.of("role", "replica", "applied_ms", position));
    }
}
