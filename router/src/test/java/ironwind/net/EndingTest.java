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
    /**
     * The protocol's table of outcomes. The last column decides whether a non-idempotent RPC may be
     * sent again; a wrong entry could run it twice.
     */
    @ParameterizedTest(name = "{0}: {1}, has run: {2}")
    @CsvSource({
        "SERVED, OK, maybe",
        "INELIGIBLE, INELIGIBLE, never",
        "FAILED, ERROR, maybe",
        "OVERLOADED, OVERLOADED, never",
        "CONNECTION_REFUSED, CONNECT_FAILED, never",
        "NOT_ESTABLISHED, CONNECT_FAILED, never",
        "LOST_BEFORE_SENT, CONNECT_FAILED, never",
        "NO_SOCKET, CONNECT_FAILED, never",
        "LOST_AFTER_SENT, CONNECTION_LOST, maybe",
        "MALFORMED_ANSWER, CONNECTION_LOST, maybe",
        "TIMED_OUT, TIMED_OUT, maybe",
        "CANCELLED, CANCELLED, maybe",
        "NOT_SENT, NOT_SENT, never"
    })
    void endingsOfCallOutsMapToOutcomes(Ending ending, Outcome outcome, String hasRun) {
        assertThat(ending.outcome()).isEqualTo(outcome);
        assertThat(ending.outcome().provesNotRun).isEqualTo(hasRun.equals("never"));
    }

    @Test
    void onlyEndingsOfConnectionsHaveNoOutcome() {
        Set<Ending> withoutOutcome = EnumSet.noneOf(Ending.class);
        for (Ending ending : Ending.values()) {
            if (ending.outcome() == null) {
                withoutOutcome.add(ending);
            }
        }
        assertThat(withoutOutcome)
                .containsExactly(
                        Ending.IDLE_CLOSED,
                        Ending.CLOSED_BY_HOST,
                        Ending.UNSOLICITED_DATA,
                        Ending.CLIENT_LEFT,
                        Ending.CLIENT_CLOSED_BY_ROUTER,
                        Ending.CLIENT_FATAL_ERROR);
    }

    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource({
        "25006, INELIGIBLE",
        "72000, INELIGIBLE",
        "XX000, FAILED",
        "53300, OVERLOADED",
        "57P03, OVERLOADED",
        "08P01, FAILED"
    })
    void errorAnswersAreClassifiedBySqlState(String code, Ending ending) {
        assertThat(Ending.of(new PgError(code, "", null))).isEqualTo(ending);
    }
}
