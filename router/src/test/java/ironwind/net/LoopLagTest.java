package ironwind.net;

import static org.assertj.core.api.Assertions.assertThat;

import ironwind.model.Moment;
import ironwind.model.Span;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LoopLagTest {
    /** Times in milliseconds; opened at 0, a beat every 100 ms. */
    @ParameterizedTest(name = "last beat at {0}, read at {1}: it may have lain there for {2} ms")
    @CsvSource({
        "-1, 0, 0",
        "-1, 320, 320",
        "100, 150, 0",
        "100, 200, 0",
        "100, 950, 750",
        "950, 960, 0",
        "950, 1051, 1"
    })
    void whatIsReadBehindAStandingLoopMayHaveLainThereSinceItsBeatWasDue(
            long beat, long read, long lay) {
        Moment opened = Moment.ofMillis(1_000_000);
        LoopLag lag = new LoopLag(Span.ofMillis(100), opened);
        if (beat >= 0) {
            lag.recordTick(opened.plus(Span.ofMillis(beat)));
        }
        assertThat(lag.lagAt(opened.plus(Span.ofMillis(read)))).isEqualTo(Span.ofMillis(lay));
    }
}
