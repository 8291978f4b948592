package ironwind.adapter;

import java.util.Base64;

/** One line of the wire: a name and tab-parted name=value fields, looked up without regular expressions. */
final class Line {
    private final String text;
    private final long number;
    private final String name;

    Line(String text, long number) {
        this.text = text;
        this.number = number;
        int tab = text.indexOf('\t');
        this.name = tab < 0 ? text : text.substring(0, tab);
    }

    String name() {
        return name;
    }

    /** The field's value, or null where it is absent. */
    String text(String key) {
        int from = name.length();
        int length = key.length();
        while (from >= 0 && from < text.length()) {
            int start = from + 1;
            int end = text.indexOf('\t', start);
            int stop = end < 0 ? text.length() : end;
            if (stop - start > length && text.charAt(start + length) == '=' && text.startsWith(key, start)) {
                return text.substring(start + length + 1, stop);
            }
            from = end;
        }
        return null;
    }

    String need(String key) {
        String value = text(key);
        if (value == null || value.isEmpty()) {
            throw fault(key, "is missing");
        }
        return value;
    }

    long whole(String key, long absent) {
        String value = text(key);
        return value == null ? absent : parseWhole(key, value);
    }

    long needWhole(String key) {
        return parseWhole(key, need(key));
    }

    int small(String key, int absent) {
        long value = whole(key, absent);
        if (value < Integer.MIN_VALUE || value > Integer.MAX_VALUE) {
            throw fault(key, "is out of range: " + value);
        }
        return (int) value;
    }

    int needSmall(String key) {
        need(key);
        return small(key, 0);
    }

    double number(String key, double absent) {
        String value = text(key);
        return value == null ? absent : parseNumber(key, value);
    }

    boolean flag(String key) {
        String value = text(key);
        if (value == null || value.equals("0") || value.equals("false")) {
            return false;
        }
        if (value.equals("1") || value.equals("true")) {
            return true;
        }
        throw fault(key, "is neither 1 nor 0: " + value);
    }

    /** Checks bytes, whose content nothing here reads. */
    void checkBytes(String key) {
        String value = text(key);
        if (value != null && !value.equals("-")) {
            try {
                Base64.getDecoder().decode(value);
            } catch (IllegalArgumentException e) {
                throw fault(key, "is not base64");
            }
        }
    }

    /** One value of a load report, or NaN where it is absent. */
    double reported(String key, String reportName) {
        String report = text(key);
        if (report == null || report.isEmpty() || report.equals("-")) {
            return Double.NaN;
        }
        int from = 0;
        while (from < report.length()) {
            int comma = report.indexOf(',', from);
            int stop = comma < 0 ? report.length() : comma;
            int colon = report.indexOf(':', from);
            if (colon < 0 || colon >= stop) {
                throw fault(key, "is no list of name:value pairs: " + report);
            }
            if (colon - from == reportName.length() && report.startsWith(reportName, from)) {
                return parseNumber(key, report.substring(colon + 1, stop));
            }
            from = stop + 1;
        }
        return Double.NaN;
    }

    WireFault fault(String key, String what) {
        return new WireFault(number, name, key, what);
    }

    long parseWhole(String key, String value) {
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw fault(key, "is not a whole number: " + value);
        }
    }

    double parseNumber(String key, String value) {
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
