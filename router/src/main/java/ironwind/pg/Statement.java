package ironwind.pg;

import java.util.LinkedHashMap;
import java.util.Map;

/** A statement behind a comment of names and values, as clients send it. */
public record Statement(Map<String, String> facts, String text) {
    private static final String OPEN = "/*";
    private static final String CLOSE = "*/";
    private static final String TIME_LEFT = "d";
    private static final int SHOWN = 24;

    /** Reads a query; one without such a comment has no facts. */
    public static Statement parse(String sql) {
        String trimmed = sql.strip();
        if (!trimmed.startsWith(OPEN)) {
            return new Statement(Map.of(), trimmed);
        }
        int close = trimmed.indexOf(CLOSE, OPEN.length());
        if (close < 0) {
            throw new PgException(PgException.SYNTAX, "the comment has no end");
        }
        Map<String, String> facts = new LinkedHashMap<>();
        for (String pair : trimmed.substring(OPEN.length(), close).strip().split(",")) {
            int equals = pair.indexOf('=');
            if (equals > 0
                    && facts.put(
                                    pair.substring(0, equals).strip(),
                                    pair.substring(equals + 1).strip())
                            != null) {
                throw new PgException(PgException.SYNTAX, "the comment names something twice");
            }
        }
        return new Statement(facts, trimmed.substring(close + CLOSE.length()).strip());
    }

    /** The same statement for a host, with how long its answer will be waited for. */
    public String waitingFor(long millis) {
        StringBuilder sql = new StringBuilder(text.length() + 160).append(OPEN);
        char before = ' ';
        for (Map.Entry<String, String> fact : facts.entrySet()) {
            sql.append(before)
                    .append(fact.getKey())
                    .append('=')
                    .append(
                            fact.getKey().equals(TIME_LEFT)
                                    ? Long.toString(millis)
                                    : fact.getValue());
            before = ',';
        }
        return sql.append(' ').append(CLOSE).append(' ').append(text).toString();
    }

    public String need(String name) {
        String value = facts.get(name);
        if (value == null || value.isEmpty()) {
            throw new PgException(PgException.SYNTAX, "the comment has no " + name);
        }
        return value;
    }

    public long needWhole(String name, long least, long most) {
        String value = need(name);
        try {
            long number = Long.parseLong(value);
            if (number >= least && number <= most) {
                return number;
            }
        } catch (NumberFormatException e) {
            // told below, as what is out of range is
        }
        throw new PgException(
                PgException.SYNTAX,
                "the comment's "
                        + name
                        + " is no whole number in its range: "
                        + value.substring(0, Math.min(SHOWN, value.length())));
    }

    /** The first quoted literal, which names the row; null where there is none. */
    public String key() {
        int open = text.indexOf('\'');
        if (open < 0) {
            return null;
        }
        StringBuilder key = new StringBuilder();
        for (int at = open + 1; at < text.length(); at++) {
            if (text.charAt(at) != '\'') {
                key.append(text.charAt(at));
            } else if (at + 1 < text.length() && text.charAt(at + 1) == '\'') {
                key.append('\'');
                at++;
            } else {
                return key.toString();
            }
        }
        throw new PgException(PgException.SYNTAX, "a quoted text has no end");
    }
}
