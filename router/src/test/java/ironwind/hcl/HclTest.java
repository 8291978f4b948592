package ironwind.hcl;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import ironwind.model.Span;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Parsing, validation and the messages about problems. */
class HclTest {
    private enum Fruit {
        APPLE,
        BLOOD_ORANGE
    }

    private final Diagnostics diagnostics = new Diagnostics("f.hcl");

    @Test
    void parsesAllSupportedSyntax() {
        Block file =
                HclReader.parse(
                        """
                # a comment
                a = -1.5e1 // another
                /* more
                 */ text = "x\\"y\\\\z\\n"
                pool "main" second {
                  list = ["one", 2, [true],]
                  inner {
                  }
                }
                """,
                        diagnostics);
        assertThat(diagnostics.isEmpty()).isTrue();
        assertThat(file.attributes())
                .extracting(Block.Attribute::name, Block.Attribute::line)
                .containsExactly(
                        org.assertj.core.groups.Tuple.tuple("a", 2),
                        org.assertj.core.groups.Tuple.tuple("text", 4));
        assertThat(file.attributes().get(0).value().toString()).isEqualTo("-15");
        assertThat(file.attributes().get(1).value()).isEqualTo("x\"y\\z\n");
        Block pool = file.blocks().get(0);
        assertThat(pool.labels()).containsExactly("main", "second");
        assertThat(pool.attributes().get(0).value()).hasToString("[one, 2, [true]]");
        assertThat(pool.blocks().get(0).line()).isEqualTo(7);
    }

    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource(
            delimiter = '|',
            value = {
                "a = | f.hcl:1: syntax error at column",
                "a {;b = 1 | f.hcl:2: syntax error at column",
                "a = 1;b == 2 | f.hcl:2: syntax error at column",
                "a = 'x' | f.hcl:1: syntax error at column",
                "a = \"open;b = 1 | f.hcl:1: syntax error at column",
                "a = 1 b = 2 | f.hcl:1: an attribute or block must start on a new line"
            })
    void reportsTheLineOfSyntaxErrors(String text, String message) {
        HclException exception =
                catchThrowableOfType(
                        HclException.class,
                        () -> {
                            HclReader.parse(text.replace(';', '\n'), diagnostics);
                            diagnostics.throwIfAny();
                        });
        assertThat(exception.messages().get(0)).startsWith(message);
    }

    /** Guards against input for which the parser throws anything but {@link HclException}. */
    @Property(tries = 500, seed = "20261203")
    void anyTextIsParsedOrReported(@ForAll @CharRange(from = ' ', to = '}') String text) {
        HclException exception =
                catchThrowableOfType(HclException.class, () -> HclReader.parse(text, diagnostics));
        assertThat(exception == null || !exception.messages().isEmpty()).isTrue();
    }

    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource(
            delimiter = '|',
            value = {
                "n = 7 | ''",
                "n = 7.0 | ''",
                "n = 11 | f.hcl:1: n: expected an integer from 1 to 10, got 11",
                "n = 1.5 | f.hcl:1: n: expected an integer from 1 to 10, got 1.5",
                "n = 1e400 | f.hcl:1: n: expected an integer from 1 to 10, got 1E+400",
                "n = \"7\" | f.hcl:1: n: expected an integer from 1 to 10, got \"7\"",
                "p = 1.01 | f.hcl:1: p: expected a number from 0 to 1, got 1.01",
                "p = 0 | ''",
                "f = yes | f.hcl:1: syntax error at column",
                "f = 1 | f.hcl:1: f: expected true or false, got 1",
                "s = \"2m\" | ''",
                "s = \"90\" "
                        + "| f.hcl:1: s: expected a duration such as \"250ms\""
                        + " from 10ms to 3600s, got \"90\"",
                "s = \"9us\" "
                        + "| f.hcl:1: s: expected a duration such as \"250ms\""
                        + " from 10ms to 3600s, got \"9us\"",
                "s = \"99999999999999h\" | f.hcl:1: s: expected a duration",
                "b = \"64KiB\" | ''",
                "b = \"64KB\" | f.hcl:1: b: expected a size such as \"16MiB\" from 1B to 1048576B, got",
                "c = \"blood_orange\" | ''",
                "c = \"pear\" | f.hcl:1: c: expected one of [apple, blood_orange], got \"pear\"",
                "m = 1 | f.hcl:1: m is unknown here",
                "n = 1;;n = 2 | f.hcl:3: n is defined twice, first on line 1",
                "in {;};in {;} | f.hcl:3: the block in is defined twice, first on line 1",
                "in \"x\" {;} | f.hcl:1: the block in takes no labels",
                "out {;} | f.hcl:1: the block out is unknown here",
                "in {;x = 1;} | f.hcl:2: in.x is unknown here"
            })
    void reportsInvalidValuesWithTheirLine(String text, String message) {
        HclException exception =
                catchThrowableOfType(
                        HclException.class,
                        () -> {
                            BlockReader reader =
                                    new BlockReader(
                                            HclReader.parse(text.replace(';', '\n'), diagnostics),
                                            diagnostics);
                            reader.integer("n", 1, 10, 3);
                            reader.fraction("p", 0.5);
                            reader.bool("f", true);
                            reader.duration(
                                    "s", Span.ofMillis(10), Span.ofMillis(3_600_000), Span.ZERO);
                            reader.bytes("b", 1, 1 << 20, 1);
                            reader.constant("c", Fruit.class, Fruit.APPLE);
                            reader.block("in").reportUnknownNames();
                            reader.reportUnknownNames();
                            diagnostics.throwIfAny();
                        });
        if (message.isEmpty()) {
            assertThat(exception).isNull();
        } else {
            assertThat(exception.messages()).hasSize(1);
            assertThat(exception.messages().get(0)).startsWith(message);
        }
    }

    @Test
    void reportsAllProblemsSortedByLine() {
        BlockReader reader =
                new BlockReader(
                        HclReader.parse("z = 1\nn = 0\nin {\n y = 2\n}\n", diagnostics),
                        diagnostics);
        reader.block("in").reportUnknownNames();
        reader.integer("n", 1, 10, 3);
        reader.reportUnknownNames();
        assertThat(diagnostics.messages())
                .isEqualTo(
                        List.of(
                                "f.hcl:1: z is unknown here",
                                "f.hcl:2: n: expected an integer from 1 to 10, got 0",
                                "f.hcl:4: in.y is unknown here"));
    }
}
