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
 * Reads and validates the values of one block. Each method takes the name of an attribute, the
 * values that it may have and a default for an absent attribute. An invalid value is added to the
 * diagnostics and replaced by the default, so that one pass finds all problems. {@link
 * #reportUnknownNames} reports the names that no method was called with.
 */
public final class BlockReader {
    private static final Pattern DURATION = Pattern.compile("([0-9]+)(us|ms|s|m|h)");
    private static final Pattern SIZE = Pattern.compile("([0-9]+)(B|KiB|MiB|GiB)");
    private static final Map<String, Long> MICROS_PER_UNIT =
            Map.of("us", 1L, "ms", 1_000L, "s", 1_000_000L, "m", 60_000_000L, "h", 3_600_000_000L);
    private static final Map<String, Long> BYTES_PER_UNIT =
            Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30);

    /** Numbers with more digits than this are out of every range. */
    private static final int MAX_DIGITS = 12;

    private final Block block;
    private final String path;
    private final Diagnostics diagnostics;
    private final Map<String, Attribute> attributes = new HashMap<>();
    private final Set<String> knownNames = new HashSet<>();

    /**
     * Creates a reader; attributes that are defined twice are reported at once.
     *
     * @param diagnostics receives the problems found
     */
    public BlockReader(Block block, Diagnostics diagnostics) {
        this(block, block.name(), diagnostics);
    }

    private BlockReader(Block block, String path, Diagnostics diagnostics) {
        this.block = block;
        this.path = path;
        this.diagnostics = diagnostics;
        for (Attribute attribute : block.attributes()) {
            Attribute first = attributes.putIfAbsent(attribute.name(), attribute);
            if (first != null) {
                diagnostics.add(
                        attribute.line(),
                        qualifiedName(attribute.name())
                                + " is defined twice, first on line "
                                + first.line());
            }
        }
    }

    private String qualifiedName(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    /**
     * Returns a reader of the nested block with this name, which may occur at most once and takes
     * no labels; the reader of an empty block if it is absent.
     */
    public BlockReader block(String name) {
        knownNames.add(name);
        List<Block> found =
                block.blocks().stream().filter(each -> each.name().equals(name)).toList();
        for (Block each : found) {
            if (each != found.get(0)) {
                diagnostics.add(
                        each.line(),
                        "the block "
                                + qualifiedName(name)
                                + " is defined twice, first on line "
                                + found.get(0).line());
            }
            if (!each.labels().isEmpty()) {
                diagnostics.add(
                        each.line(), "the block " + qualifiedName(name) + " takes no labels");
            }
        }
        Block nested =
                found.isEmpty()
                        ? new Block(name, List.of(), block.line(), List.of(), List.of())
                        : found.get(0);
        return new BlockReader(nested, qualifiedName(name), diagnostics);
    }

    /** Whether the attribute is present. */
    public boolean has(String name) {
        return attributes.containsKey(name);
    }

    /** Returns an integer; both bounds are inclusive. */
    public int integer(String name, int min, int max, int defaultValue) {
        return (int)
                read(
                                name,
                                (long) defaultValue,
                                "an integer from " + min + " to " + max,
                                value ->
                                        value instanceof BigDecimal number
                                                ? inRange(number, min, max)
                                                : null)
                        .longValue();
    }

    private static Long inRange(BigDecimal number, long min, long max) {
        boolean integral =
                number.precision() - number.scale() <= MAX_DIGITS
                        && number.stripTrailingZeros().scale() <= 0;
        long value = integral ? number.longValue() : min - 1;
        return integral && value >= min && value <= max ? (Long) value : null;
    }

    /** Returns a number from 0 to 1. */
    public double fraction(String name, double defaultValue) {
        return read(
                name,
                defaultValue,
                "a number from 0 to 1",
                value ->
                        value instanceof BigDecimal number
                                        && number.signum() >= 0
                                        && number.compareTo(BigDecimal.ONE) <= 0
                                ? number.doubleValue()
                                : null);
    }

    /** Returns a boolean. */
    public boolean bool(String name, boolean defaultValue) {
        return read(
                name,
                defaultValue,
                "true or false",
                value -> value instanceof Boolean flag ? flag : null);
    }

    /** Returns a string. */
    public String string(String name, String defaultValue) {
        return read(
                name,
                defaultValue,
                "a string",
                value -> value instanceof String text ? text : null);
    }

    /** Returns a duration such as "250ms"; both bounds are inclusive. */
    public Span duration(String name, Span min, Span max, Span defaultValue) {
        return read(
                name,
                defaultValue,
                "a duration such as \"250ms\" from " + format(min) + " to " + format(max),
                value -> {
                    Long us =
                            value instanceof String text
                                    ? parseWithUnit(DURATION.matcher(text), MICROS_PER_UNIT)
                                    : null;
                    return us != null && us >= min.us() && us <= max.us() ? new Span(us) : null;
                });
    }

    /** Returns a size in bytes, written such as "16MiB"; both bounds are inclusive. */
    public long bytes(String name, long min, long max, long defaultValue) {
        return read(
                name,
                defaultValue,
                "a size such as \"16MiB\" from " + min + "B to " + max + "B",
                value -> {
                    Long bytes =
                            value instanceof String text
                                    ? parseWithUnit(SIZE.matcher(text), BYTES_PER_UNIT)
                                    : null;
                    return bytes != null && bytes >= min && bytes <= max ? bytes : null;
                });
    }

    private static Long parseWithUnit(Matcher matcher, Map<String, Long> units) {
        if (!matcher.matches() || matcher.group(1).length() > MAX_DIGITS) {
            return null;
        }
        return Long.parseLong(matcher.group(1)) * units.get(matcher.group(2));
    }

    private static String format(Span span) {
        return span.us() % 1_000_000 == 0 ? span.us() / 1_000_000 + "s" : span.us() / 1_000 + "ms";
    }

    /** Returns an enum constant, which is written in lower case. */
    public <E extends Enum<E>> E constant(String name, Class<E> type, E defaultValue) {
        List<String> names =
                Arrays.stream(type.getEnumConstants())
                        .map(each -> each.name().toLowerCase(Locale.ROOT))
                        .toList();
        return read(
                name,
                defaultValue,
                "one of " + names,
                value -> {
                    int at = names.indexOf(String.valueOf(value));
                    return at < 0 ? null : type.getEnumConstants()[at];
                });
    }

    private <T> T read(String name, T defaultValue, String expected, Function<Object, T> reader) {
        knownNames.add(name);
        Attribute attribute = attributes.get(name);
        if (attribute == null) {
            return defaultValue;
        }
        T value = reader.apply(attribute.value());
        if (value == null) {
            Object given =
                    attribute.value() instanceof String text ? '"' + text + '"' : attribute.value();
            diagnostics.add(
                    attribute.line(),
                    qualifiedName(name) + ": expected " + expected + ", got " + given);
            return defaultValue;
        }
        return value;
    }

    /**
     * Reports a violated constraint between several attributes, at the line of the first of them
     * that is present.
     *
     * @param valid whether the constraint holds
     * @param names the attributes; the message names the first
     */
    public void require(boolean valid, String message, String... names) {
        if (!valid) {
            int line =
                    Arrays.stream(names)
                            .filter(attributes::containsKey)
                            .mapToInt(name -> attributes.get(name).line())
                            .findFirst()
                            .orElse(block.line());
            diagnostics.add(line, qualifiedName(names[0]) + ": " + message);
        }
    }

    /**
     * Reports the attributes and blocks whose names no method was called with. To be called last.
     */
    public void reportUnknownNames() {
        attributes.values().stream()
                .filter(attribute -> !knownNames.contains(attribute.name()))
                .forEach(
                        attribute ->
                                diagnostics.add(
                                        attribute.line(),
                                        qualifiedName(attribute.name()) + " is unknown here"));
        block.blocks().stream()
                .filter(each -> !knownNames.contains(each.name()))
                .forEach(
                        each ->
                                diagnostics.add(
                                        each.line(),
                                        "the block "
                                                + qualifiedName(each.name())
                                                + " is unknown here"));
    }
}
