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

/** The form, and the complaints. */
class HclTest {
    private enum Fruit {
        APPLE,
        BLOOD_ORANGE
    }

    private final Diagnostics complaints = new Diagnostics("f.hcl");

    @Test
    void readsWhatTheFormAllows() {
        Block file =
                HclReader.parse(
                        """
                # a remark
                a = -1.5e1 // another
                /* more
                 */ text = "x\\"y\\\\z\\n"
                pool "main" second {
                  list = ["one", 2, [true],]
                  inner {
                  }
                }
                """,
                        complaints);
        assertThat(complaints.isEmpty()).isTrue();
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

    @ParameterizedTest(name = "{0} is no HCL: {1}")
    @CsvSource(
            delimiter = '|',
            value = {
                "a = | f.hcl:1: no HCL at column",
                "a {;b = 1 | f.hcl:2: no HCL at column",
                "a = 1;b == 2 | f.hcl:2: no HCL at column",
                "a = 'x' | f.hcl:1: no HCL at column",
                "a = \"open;b = 1 | f.hcl:1: no HCL at column",
                "a = 1 b = 2 | f.hcl:1: two things stand in one line"
            })
    void tellsWhereAFileIsNoHcl(String text, String told) {
        HclException fault =
                catchThrowableOfType(
                        HclException.class,
                        () -> {
                            HclReader.parse(text.replace(';', '\n'), complaints);
                            complaints.throwIfAny();
                        });
        assertThat(fault.lines().get(0)).startsWith(told);
    }

    /** Guards against a file that ends the program with something else than complaints. */
    @Property(tries = 500, seed = "20261203")
    void whateverAFileHoldsItIsReadOrComplainedOf(
            @ForAll @CharRange(from = ' ', to = '}') String text) {
        HclException fault =
                catchThrowableOfType(HclException.class, () -> HclReader.parse(text, complaints));
        assertThat(fault == null || !fault.lines().isEmpty()).isTrue();
    }

    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource(
            delimiter = '|',
            value = {
                "n = 7 | ''",
                "n = 7.0 | ''",
                "n = 11 | f.hcl:1: n: a whole number from 1 to 10 is expected, not 11",
                "n = 1.5 | f.hcl:1: n: a whole number from 1 to 10 is expected, not 1.5",
                "n = 1e400 | f.hcl:1: n: a whole number from 1 to 10 is expected, not 1E+400",
                "n = \"7\" | f.hcl:1: n: a whole number from 1 to 10 is expected, not \"7\"",
                "p = 1.01 | f.hcl:1: p: a number from 0 to 1 is expected, not 1.01",
                "p = 0 | ''",
                "f = yes | f.hcl:1: no HCL",
                "f = 1 | f.hcl:1: f: true or false is expected, not 1",
                "s = \"2m\" | ''",
                "s = \"90\" | f.hcl:1: s: a time such as \"250ms\" from 10ms to 3600s is expected, not \"90\"",
                "s = \"9us\" | f.hcl:1: s: a time such as \"250ms\" from 10ms to 3600s is expected, not \"9us\"",
                "s = \"99999999999999h\" | f.hcl:1: s: a time",
                "b = \"64KiB\" | ''",
                "b = \"64KB\" | f.hcl:1: b: a size such as \"16MiB\" from 1B to 1048576B is expected",
                "c = \"blood_orange\" | ''",
                "c = \"pear\" | f.hcl:1: c: one of [apple, blood_orange] is expected, not \"pear\"",
                "m = 1 | f.hcl:1: m is unknown here",
                "n = 1;;n = 2 | f.hcl:3: n is given twice, first in line 1",
                "in {;};in {;} | f.hcl:3: the block in is given twice, first in line 1",
                "in \"x\" {;} | f.hcl:1: the block in bears no label",
                "out {;} | f.hcl:1: the block out is unknown here",
                "in {;x = 1;} | f.hcl:2: in.x is unknown here"
            })
    void eachValueIsCheckedWhereItStands(String text, String told) {
        HclException fault =
                catchThrowableOfType(
                        HclException.class,
                        () -> {
                            BlockReader section =
                                    new BlockReader(
                                            HclReader.parse(text.replace(';', '\n'), complaints),
                                            complaints);
                            section.whole("n", 1, 10, 3);
                            section.part("p", 0.5);
                            section.flag("f", true);
                            section.span(
                                    "s", Span.ofMillis(10), Span.ofMillis(3_600_000), Span.ZERO);
                            section.bytes("b", 1, 1 << 20, 1);
                            section.choice("c", Fruit.class, Fruit.APPLE);
                            section.only("in").done();
                            section.done();
                            complaints.throwIfAny();
                        });
        if (told.isEmpty()) {
            assertThat(fault).isNull();
        } else {
            assertThat(fault.lines()).hasSize(1);
            assertThat(fault.lines().get(0)).startsWith(told);
        }
    }

    @Test
    void allComplaintsComeAtOnceInTheOrderOfTheirLines() {
        BlockReader section =
                new BlockReader(
                        HclReader.parse("z = 1\nn = 0\nin {\n y = 2\n}\n", complaints), complaints);
        section.only("in").done();
        section.whole("n", 1, 10, 3);
        section.done();
        assertThat(complaints.lines())
                .isEqualTo(
                        List.of(
                                "f.hcl:1: z is unknown here",
                                "f.hcl:2: n: a whole number from 1 to 10 is expected, not 0",
                                "f.hcl:4: in.y is unknown here"));
    }
}
