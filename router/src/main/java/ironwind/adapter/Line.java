package ironwind.adapter;

import ironwind.config.PropertySource;
import java.util.Base64;

/**
 * One line of the simulator's protocol: a message name and tab-separated key=value fields. Fields
 * are looked up by scanning the text, without regular expressions.
 */
final class Line implements PropertySource {
    private final String text;
    private final long lineNumber;
    private final String messageName;

    Line(String text, long lineNumber) {
        this.text = text;
        this.lineNumber = lineNumber;
        int tab = text.indexOf('\t');
        this.messageName = tab < 0 ? text : text.substring(0, tab);
    }

    String name() {
        return messageName;
    }

    @Override
    public String getString(String key) {
        int from = messageName.length();
        int length = key.length();
        while (from >= 0 && from < text.length()) {
            int start = from + 1;
            int end = text.indexOf('\t', start);
            int stop = end < 0 ? text.length() : end;
            if (stop - start > length
                    && text.charAt(start + length) == '='
                    && text.startsWith(key, start)) {
                return text.substring(start + length + 1, stop);
            }
            from = end;
        }
        return null;
    }

    /** Checks that the value is base64 or "-"; its content is not used. */
    void checkBase64(String key) {
        String value = getString(key);
        if (value != null && !value.equals("-")) {
            try {
                Base64.getDecoder().decode(value);
            } catch (IllegalArgumentException e) {
                throw error(key, "is not base64");
            }
        }
    }

    /** Returns one value of a load report ({@code name:value,...}), or NaN if it is absent. */
    double reportValue(String key, String valueName) {
        String report = getString(key);
        if (report == null || report.isEmpty() || report.equals("-")) {
            return Double.NaN;
        }
        int from = 0;
        while (from < report.length()) {
            int comma = report.indexOf(',', from);
            int stop = comma < 0 ? report.length() : comma;
            int colon = report.indexOf(':', from);
            if (colon < 0 || colon >= stop) {
                throw error(key, "is not a list of name:value pairs: " + report);
            }
            if (colon - from == valueName.length() && report.startsWith(valueName, from)) {
                return parseDouble(key, report.substring(colon + 1, stop));
            }
            from = stop + 1;
        }
        return Double.NaN;
    }

    @Override
    public MalformedLineException error(String key, String problem) {
        return new MalformedLineException(lineNumber, messageName, key, problem);
    }
}
