package ironwind.net;

import static org.assertj.core.api.Assertions.assertThat;

import ironwind.idle.CloseReason;
import ironwind.idle.CommandScheduler;
import ironwind.idle.ConnectionManager;
import ironwind.idle.Limits;
import ironwind.idle.MemoryBudget;
import ironwind.idle.MonotonicTime;
import ironwind.idle.ReadScheduler;
import ironwind.idle.UnsentAnswers;
import ironwind.model.Span;
import ironwind.pg.Encoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Operators' tools match the names that {@code SHOW} prints for enum constants. Guards against a
 * renamed constant that changes them.
 */
class ShowTest {
    private static final Limits LIMITS =
            Limits.defaults(10, 64, Span.ofMillis(100), Span.ofMillis(1_000));

    private final MemoryBudget budget = new MemoryBudget(LIMITS.memoryBytes());

    /** Has no logic task, which only {@code SHOW idle} needs. */
    private final Show show =
            new Show(
                    new Counters(),
                    new ConnectionManager(LIMITS),
                    budget,
                    new UnsentAnswers(LIMITS, budget),
                    new ReadScheduler(LIMITS, budget),
                    new CommandScheduler(LIMITS.turnDuration()),
                    new MonotonicTime(Span.ofMillis(500)),
                    null);

    @Test
    void showClientsPrintsTheLabelsOfTheStates() {
        List<List<String>> rows =
                Stream.of("parting", "stranger", "greeted", "served", "halfway", "busy")
                        .map(label -> List.of(label, "0", "0"))
                        .toList();
        assertThat(show.answerTo("SHOW clients"))
                .isEqualTo(
                        Encoder.tableResult(
                                List.of("standing", "connections", "longest_in_it_ms"), rows));
    }

    @Test
    void showMemoryPrintsTheLabelsOfTheUses() {
        List<String> names =
                List.of(
                        "incoming",
                        "open",
                        "asking",
                        "making",
                        "held",
                        "owed",
                        "all",
                        "highest",
                        "limit",
                        "heap",
                        "heap_limit",
                        "direct");
        String[] rows =
                new String(show.answerTo("SHOW memory"), StandardCharsets.UTF_8).split("D\0");
        assertThat(rows).hasSize(names.size() + 1);
        for (int i = 0; i < names.size(); i++) {
            String name = names.get(i);
            // A value follows its length, a 32-bit number, and precedes the next value's length.
            assertThat(rows[i + 1]).contains((char) name.length() + name + "\0");
        }
    }

    /** {@code SHOW idle} prints them in lower case after {@code ended_}, the log unchanged. */
    @Test
    void closeReasonNamesMatchThoseOfTheLog() {
        assertThat(Arrays.stream(CloseReason.values()).map(CloseReason::toString))
                .containsExactly(
                        "GAVE_WAY",
                        "ALL_BUSY",
                        "ADDRESS_FULL",
                        "CUSTOMER_FULL",
                        "TOO_SLOW",
                        "IDLE_TOO_LONG",
                        "SLOW_READER",
                        "OWED_TOO_MUCH",
                        "NO_MEMORY");
    }
}
