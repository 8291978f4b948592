package ironwind.config;

import java.util.List;

/**
 * Typed access to flat key-value pairs: the fields of a line, or nested settings whose keys are
 * paths. The typed accessors throw {@link #error} for a malformed value, and the {@code require}
 * methods also for a missing one.
 */
public interface PropertySource {
    /** Returns the value of the key, or null if the key is absent. */
    String getString(String key);

    /** Creates the exception to throw for a missing or malformed value. */
    RuntimeException error(String key, String problem);

    /** Returns the value of the key, which must be present and not empty. */
    default String requireString(String key) {
        String value = getString(key);
        if (value == null || value.isEmpty()) {
            throw error(key, "is missing");
        }
        return value;
    }

    /** Returns the value as a whole number, or the default if the key is absent. */
    default long getLong(String key, long defaultValue) {
        String value = getString(key);
        return value == null ? defaultValue : parseLong(key, value);
    }

    /** Returns the value as a whole number; the key must be present. */
    default long requireLong(String key) {
        return parseLong(key, requireString(key));
    }

    /** Returns the value as a whole number of 32 bits, or the default if the key is absent. */
    default int getInt(String key, int defaultValue) {
        long value = getLong(key, defaultValue);
        if (value < Integer.MIN_VALUE || value > Integer.MAX_VALUE) {
            throw error(key, "is out of range: " + value);
        }
        return (int) value;
    }

    /** Returns the value as a whole number of 32 bits; the key must be present. */
    default int requireInt(String key) {
        requireString(key);
        return getInt(key, 0);
    }

    /** Returns the value as a finite number, or the default if the key is absent. */
    default double getDouble(String key, double defaultValue) {
        String value = getString(key);
        return value == null ? defaultValue : parseDouble(key, value);
    }

    /** Returns the items of a comma-separated list; none if the value is empty or absent. */
    default List<String> getList(String key) {
        String value = getString(key);
        return value == null || value.isEmpty() ? List.of() : List.of(value.split(",", -1));
    }

    /** Returns a boolean written as 1, 0, true or false; false if the key is absent. */
    default boolean getBoolean(String key) {
        String value = getString(key);
        if (value == null || value.equals("0") || value.equals("false")) {
            return false;
        }
        if (value.equals("1") || value.equals("true")) {
            return true;
        }
        throw error(key, "is not a boolean (1, 0, true or false): " + value);
    }

    /** Parses a whole number; the key only serves the error message. */
    default long parseLong(String key, String value) {
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw error(key, "is not a whole number: " + value);
        }
    }

    /** Parses a finite number; the key only serves the error message. */
    default double parseDouble(String key, String value) {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // reported below together with the key
        }
        throw error(key, "is not a number: " + value);
    }
}
