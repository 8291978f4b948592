package ironwind.adapter;

import ironwind.config.PropertySource;
import java.util.Base64;

/**
 * One line of the wire: a name and tab-parted name=value fields, looked up without regular
 * expressions.
 */
final class Line implements PropertySource {
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

    @Override
    public String text(String key) {
        int from = name.length();
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

    @Override
    public MalformedLineException fault(String key, String what) {
        return new MalformedLineException(number, name, key, what);
    }
}
