package ironwind.hcl;

import ironwind.hcl.Block.Attribute;
import ironwind.model.Span;
import java.math.BigDecimal;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One block while it is checked: each reader takes a name, what its value may be, and what holds
 * where it is absent. What is wrong is complained of, and the default stands in, so that one pass
 * finds everything. {@link #done} complains of names that nobody asked for.
 */
public final class BlockReader {
    private static final Pattern TIME = Pattern.compile("([0-9]+)(us|ms|s|m|h)");
    private static final Pattern SIZE = Pattern.compile("([0-9]+)(B|KiB|MiB|GiB)");
    private static final Map<String, Long> MICROS =
            Map.of("us", 1L, "ms", 1_000L, "s", 1_000_000L, "m", 60_000_000L, "h", 3_600_000_000L);
    private static final Map<String, Long> BYTES =
            Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30);

    /** Numbers longer than this are out of every range. */
    private static final int MOST_DIGITS = 12;

    private final Block block;
    private final String path;
    private final Diagnostics complaints;
    private final Map<String, Attribute> attributes = new HashMap<>();
    private final Set<String> asked = new HashSet<>();

    public BlockReader(Block block, Diagnostics complaints) {
        this(block, block.name(), complaints);
    }

    private BlockReader(Block block, String path, Diagnostics complaints) {
        this.block = block;
        this.path = path;
        this.complaints = complaints;
        for (Attribute attribute : block.attributes()) {
            Attribute first = attributes.putIfAbsent(attribute.name(), attribute);
            if (first != null) {
                complaints.add(
                        attribute.line(),
                        of(attribute.name()) + " is given twice, first in line " + first.line());
            }
        }
    }

    private String of(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    /**
     * The block of this name, which may stand once and bears no label; an empty one where it is
     * absent.
     */
    public BlockReader only(String name) {
        asked.add(name);
        List<Block> found =
                block.blocks().stream().filter(each -> each.name().equals(name)).toList();
        for (Block each : found) {
            if (each != found.get(0)) {
                complaints.add(
                        each.line(),
                        "the block "
                                + of(name)
                                + " is given twice, first in line "
                                + found.get(0).line());
            }
            if (!each.labels().isEmpty()) {
                complaints.add(each.line(), "the block " + of(name) + " bears no label");
            }
        }
        Block one =
                found.isEmpty()
                        ? new Block(name, List.of(), block.line(), List.of(), List.of())
                        : found.get(0);
        return new BlockReader(one, of(name), complaints);
    }

    public boolean has(String name) {
        return attributes.containsKey(name);
    }

    public int whole(String name, int least, int most, int otherwise) {
        return (int)
                read(
                                name,
                                (long) otherwise,
                                "a whole number from " + least + " to " + most,
                                value ->
                                        value instanceof BigDecimal number
                                                ? inRange(number, least, most)
                                                : null)
                        .longValue();
    }

    private static Long inRange(BigDecimal number, long least, long most) {
        boolean whole =
                number.precision() - number.scale() <= MOST_DIGITS
                        && number.stripTrailingZeros().scale() <= 0;
        long value = whole ? number.longValue() : least - 1;
        return whole && value >= least && value <= most ? (Long) value : null;
    }

    /** A part of a whole, from 0 to 1. */
    public double part(String name, double otherwise) {
        return read(
                name,
                otherwise,
                "a number from 0 to 1",
                value ->
                        value instanceof BigDecimal number
                                        && number.signum() >= 0
                                        && number.compareTo(BigDecimal.ONE) <= 0
                                ? number.doubleValue()
                                : null);
    }

    public boolean flag(String name, boolean otherwise) {
        return read(
                name,
                otherwise,
                "true or false",
                value -> value instanceof Boolean flag ? flag : null);
    }

    public String text(String name, String otherwise) {
        return read(name, otherwise, "a text", value -> value instanceof String text ? text : null);
    }

    /** A time such as "250ms". */
    public Span span(String name, Span least, Span most, Span otherwise) {
        return read(
                name,
                otherwise,
                "a time such as \"250ms\" from " + told(least) + " to " + told(most),
                value -> {
                    Long us =
                            value instanceof String text
                                    ? scaled(TIME.matcher(text), MICROS)
                                    : null;
                    return us != null && us >= least.us() && us <= most.us() ? new Span(us) : null;
                });
    }

    /** A size such as "16MiB". */
    public long bytes(String name, long least, long most, long otherwise) {
        return read(
                name,
                otherwise,
                "a size such as \"16MiB\" from " + least + "B to " + most + "B",
                value -> {
                    Long bytes =
                            value instanceof String text ? scaled(SIZE.matcher(text), BYTES) : null;
                    return bytes != null && bytes >= least && bytes <= most ? bytes : null;
                });
    }

    private static Long scaled(Matcher matcher, Map<String, Long> units) {
        if (!matcher.matches() || matcher.group(1).length() > MOST_DIGITS) {
            return null;
        }
        return Long.parseLong(matcher.group(1)) * units.get(matcher.group(2));
    }

    private static String told(Span span) {
        return span.us() % 1_000_000 == 0 ? span.us() / 1_000_000 + "s" : span.us() / 1_000 + "ms";
    }

    /** One of an enumeration's names, in lower case. */
    public <E extends Enum<E>> E choice(String name, Class<E> type, E otherwise) {
        List<String> names =
                Arrays.stream(type.getEnumConstants())
                        .map(each -> each.name().toLowerCase(Locale.ROOT))
                        .toList();
        return read(
                name,
                otherwise,
                "one of " + names,
                value -> {
                    int at = names.indexOf(String.valueOf(value));
                    return at < 0 ? null : type.getEnumConstants()[at];
                });
    }

    private <T> T read(String name, T otherwise, String expected, Function<Object, T> reader) {
        asked.add(name);
        Attribute attribute = attributes.get(name);
        if (attribute == null) {
            return otherwise;
        }
        T value = reader.apply(attribute.value());
        if (value == null) {
            Object given =
                    attribute.value() instanceof String text ? '"' + text + '"' : attribute.value();
            complaints.add(
                    attribute.line(), of(name) + ": " + expected + " is expected, not " + given);
            return otherwise;
        }
        return value;
    }

    /**
     * Complains where something does not hold that takes two values to tell; at the first of those
     * that is given.
     */
    public void require(boolean holds, String words, String... names) {
        if (!holds) {
            int line =
                    Arrays.stream(names)
                            .filter(attributes::containsKey)
                            .mapToInt(name -> attributes.get(name).line())
                            .findFirst()
                            .orElse(block.line());
            complaints.add(line, of(names[0]) + ": " + words);
        }
    }

    /** Nothing more is asked for: what stands here and was not asked for is unknown. */
    public void done() {
        attributes.values().stream()
                .filter(attribute -> !asked.contains(attribute.name()))
                .forEach(
                        attribute ->
                                complaints.add(
                                        attribute.line(),
                                        of(attribute.name()) + " is unknown here"));
        block.blocks().stream()
                .filter(each -> !asked.contains(each.name()))
                .forEach(
                        each ->
                                complaints.add(
                                        each.line(),
                                        "the block " + of(each.name()) + " is unknown here"));
    }
}
