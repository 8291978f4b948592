package ironwind.net;

import static org.assertj.core.api.Assertions.assertThat;

import ironwind.model.Moment;
import ironwind.model.Role;
import ironwind.model.Span;
import ironwind.pg.HostMessage;
import ironwind.pg.Row;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class HostAnswerTest {
    private static final Moment NOW = Moment.ofMillis(1767225600124L);

    /**
     * Guards against a position that parsing or arithmetic rounds up, and against one that is taken
     * from a malformed or implausible value, such as a time in the future.
     */
    @ParameterizedTest(name = "applied_ms {0}, role {1}: {2}, {3}")
    @CsvSource({
        "1767225600123, primary, 1767225600123000, PRIMARY",
        "1767225600123.9999, replica, 1767225600123999, REPLICA",
        "0, replica, , REPLICA",
        "-5, x, , UNKNOWN",
        "soon, , , UNKNOWN",
        ", primary, , PRIMARY",
        "1e400000000, primary, , PRIMARY",
        "1e-400000000, primary, , PRIMARY",
        "1e2147483647, primary, , PRIMARY",
        "1e-2147483647, primary, , PRIMARY",
        "17672256001.23e2, primary, 1767225600123000, PRIMARY",
        "NaN, primary, , PRIMARY",
        "1767225600125, primary, 1767225600125000, PRIMARY",
        "1767225600126, primary, , PRIMARY"
    })
    void readsPositionAndRoleFromParameters(
            String applied, String role, Long expectedPosition, Role expectedRole) {
        HostAnswer answer = new HostAnswer();
        answer.add(new HostMessage.ParameterStatus("applied_ms", applied == null ? "" : applied));
        answer.add(new HostMessage.ParameterStatus("role", role == null ? "" : role));
        assertThat(answer.position(NOW))
                .isEqualTo(expectedPosition == null ? Moment.NEVER : new Moment(expectedPosition));
        assertThat(answer.role()).isEqualTo(expectedRole);
    }

    /** Guards against a role that is dated by the end of an answer which began long before. */
    @Test
    void answerBeganWithItsFirstData() {
        HostAnswer answer = new HostAnswer();
        assertThat(answer.beganAt()).isEqualTo(Moment.NEVER);
        answer.recordArrival(NOW);
        answer.recordArrival(NOW.plus(Span.ofMillis(4_000)));
        assertThat(answer.beganAt()).isEqualTo(NOW);
    }

    /** Guards against a number whose digits are computed with before they are counted. */
    @ParameterizedTest
    @ValueSource(ints = {100, 3_000, 2_000_000})
    @Timeout(value = 5, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void longNumbersAreNoPositions(int digits) {
        String number = "1".repeat(digits);
        HostAnswer answer = new HostAnswer();
        answer.add(new HostMessage.ParameterStatus("applied_ms", number));
        assertThat(answer.position(NOW)).isEqualTo(Moment.NEVER);
        Row row = Row.ofText("load", "x1=" + number + ",x0=" + number);
        answer.add(new HostMessage.RowDescription(row.description()));
        answer.add(new HostMessage.DataRow(row.data()));
        assertThat(answer.loadReportPosition(NOW)).isEqualTo(Moment.NEVER);
        assertThat(answer.loadReportRole()).isEqualTo(Role.UNKNOWN);
    }

    @ParameterizedTest(name = "{0}: {1}, {2}")
    @CsvSource(
            delimiter = '|',
            value = {
                "inflight=7,x0=1767225600.1239999,x1=1 | 1767225600123999 | PRIMARY",
                "x1=0.0,x0=1767225600 | 1767225600000000 | REPLICA",
                "util=0.61 | | UNKNOWN",
                "x0=1e2147483647,x1=1e2147483647 | | UNKNOWN",
                "x0,x1=,x00=5 | | UNKNOWN"
            })
    void readsPositionAndRoleFromTheRowOfALoadReport(
            String report, Long expectedPosition, Role expectedRole) {
        Row row = Row.ofText("load", report);
        HostAnswer answer = new HostAnswer();
        answer.add(new HostMessage.RowDescription(row.description()));
        answer.add(new HostMessage.DataRow(row.data()));
        assertThat(answer.loadReportPosition(NOW))
                .isEqualTo(expectedPosition == null ? Moment.NEVER : new Moment(expectedPosition));
        assertThat(answer.loadReportRole()).isEqualTo(expectedRole);
    }
}
