package ironwind.config;

import java.util.List;

/**
 * A flat view of names and values, such as the fields of a line, or nested settings with their
 * paths as names.
 */
public interface PropertySource {
    /** The value of this name, or null where it is absent. */
    String text(String key);

    /** What to throw where a value is missing or malformed. */
    RuntimeException fault(String key, String what);

    default String need(String key) {
        String value = text(key);
        if (value == null || value.isEmpty()) {
            throw fault(key, "is missing");
        }
        return value;
    }

    default long whole(String key, long absent) {
        String value = text(key);
        return value == null ? absent : parseWhole(key, value);
    }

    default long needWhole(String key) {
        return parseWhole(key, need(key));
    }

    default int small(String key, int absent) {
        long value = whole(key, absent);
        if (value < Integer.MIN_VALUE || value > Integer.MAX_VALUE) {
            throw fault(key, "is out of range: " + value);
        }
        return (int) value;
    }

    default int needSmall(String key) {
        need(key);
        return small(key, 0);
    }

    default double number(String key, double absent) {
        String value = text(key);
        return value == null ? absent : parseNumber(key, value);
    }

    /** The items of a list joined by commas; none where it is empty or absent. */
    default List<String> list(String key) {
        String value = text(key);
        return value == null || value.isEmpty() ? List.of() : List.of(value.split(",", -1));
    }

    default boolean flag(String key) {
        String value = text(key);
        if (value == null || value.equals("0") || value.equals("false")) {
            return false;
        }
        if (value.equals("1") || value.equals("true")) {
            return true;
        }
        throw fault(key, "is neither 1 nor 0: " + value);
    }

    default long parseWhole(String key, String value) {
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw fault(key, "is not a whole number: " + value);
        }
    }

    default double parseNumber(String key, String value) {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // told below, with the field's name
        }
        throw fault(key, "is not a number: " + value);
    }
}
