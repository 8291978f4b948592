package ironwind.net;

import static org.assertj.core.api.Assertions.assertThat;

import ironwind.model.Outcome;
import ironwind.pg.PgError;
import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EndingTest {
    /** The protocol's table of outcomes: what must never run twice hangs on the last column. */
    @ParameterizedTest(name = "{0}: {1}, has run: {2}")
    @CsvSource({
        "SERVED, OK, maybe",
        "MISSED, INELIGIBLE, never",
        "FAILED, ERROR, maybe",
        "TURNED_AWAY, OVERLOADED, never",
        "REFUSED, CONNECT_FAILED, never",
        "NEVER_UP, CONNECT_FAILED, never",
        "BROKE_UNWRITTEN, CONNECT_FAILED, never",
        "NO_SOCKET, CONNECT_FAILED, never",
        "BROKE_WRITTEN, CONNECTION_LOST, maybe",
        "GARBLED, CONNECTION_LOST, maybe",
        "TIMED_OUT, TIMED_OUT, maybe",
        "CALLED_OFF, CANCELLED, maybe",
        "LAPSED, NOT_SENT, never"
    })
    void eachEndingHasItsOutcome(Ending ending, Outcome outcome, String hasRun) {
        assertThat(ending.outcome()).isEqualTo(outcome);
        assertThat(ending.outcome().provesNotRun).isEqualTo(hasRun.equals("never"));
    }

    @Test
    void onlyConnectionsThatCanCarryNoCallOutHaveNone() {
        Set<Ending> none = EnumSet.noneOf(Ending.class);
        for (Ending ending : Ending.values()) {
            if (ending.outcome() == null) {
                none.add(ending);
            }
        }
        assertThat(none)
                .containsExactly(
                        Ending.IDLE_CLOSED,
                        Ending.CLOSED_BY_HOST,
                        Ending.SURPLUS,
                        Ending.CLIENT_LEFT,
                        Ending.CLIENT_DISMISSED,
                        Ending.CLIENT_MALFORMED);
    }

    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource({
        "25006, MISSED",
        "72000, MISSED",
        "XX000, FAILED",
        "53300, TURNED_AWAY",
        "57P03, TURNED_AWAY",
        "08P01, FAILED"
    })
    void errorsAreToldBySqlstate(String code, Ending ending) {
        assertThat(Ending.of(new PgError(code, "", null))).isEqualTo(ending);
    }
}
