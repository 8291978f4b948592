package ironwind.net;

import static org.assertj.core.api.Assertions.assertThat;

import ironwind.pg.Encoder;
import ironwind.pg.Row;
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
}
