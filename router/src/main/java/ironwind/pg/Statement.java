package ironwind.pg;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A statement, and the attributes that the client passes in a comment before it, such as {@code
 * id=1,c=read,d=100}.
 *
 * @param attributes the comment's names and values, in the order in which they were sent; empty if
 *     there is no comment
 * @param text the statement without the comment
 */
public record Statement(Map<String, String> attributes, String text) {
    private static final String COMMENT_START = "/*";
    private static final String COMMENT_END = "*/";

    /** The attribute for the time that is left for the answer, in milliseconds. */
    private static final String TIME_LEFT = "d";

    /** Longest comment, in characters. */
    static final int MAX_COMMENT_CHARS = 4_096;

    /** Most fields of a comment. An object or two are created for each, however short it is. */
    static final int MAX_FIELDS = 64;

    /** Memory of a field beside its characters, in bytes: two strings and an entry of a map. */
    private static final int FIELD_BYTES = 144;

    /** How much of a malformed value an error message quotes, in characters. */
    private static final int MAX_QUOTED_CHARS = 24;

    /**
     * Parses a query.
     *
     * @throws PgException if the comment is unterminated or too long, has too many fields or
     *     contains a name twice
     */
    public static Statement parse(String sql) {
        String trimmed = sql.strip();
        if (!trimmed.startsWith(COMMENT_START)) {
            return new Statement(Map.of(), trimmed);
        }
        int commentEnd = trimmed.indexOf(COMMENT_END, COMMENT_START.length());
        if (commentEnd < 0) {
            throw new PgException(PgException.SYNTAX_ERROR, "unterminated comment");
        }
        return new Statement(
                parseAttributes(trimmed, COMMENT_START.length(), commentEnd),
                trimmed.substring(commentEnd + COMMENT_END.length()).strip());
    }

    private static Map<String, String> parseAttributes(String sql, int start, int end) {
        if (end - start > MAX_COMMENT_CHARS || countFields(sql, start, end) > MAX_FIELDS) {
            throw new PgException(
                    PgException.PROGRAM_LIMIT_EXCEEDED,
                    "the comment is longer than "
                            + MAX_COMMENT_CHARS
                            + " characters or has more than "
                            + MAX_FIELDS
                            + " fields");
        }
        Map<String, String> attributes = new LinkedHashMap<>();
        for (String pair : sql.substring(start, end).strip().split(",")) {
            int equals = pair.indexOf('=');
            if (equals > 0
                    && attributes.put(
                                    pair.substring(0, equals).strip(),
                                    pair.substring(equals + 1).strip())
                            != null) {
                throw new PgException(
                        PgException.SYNTAX_ERROR, "the comment contains a name twice");
            }
        }
        return attributes;
    }

    private static long countFields(String sql, int start, int end) {
        return 1 + sql.substring(start, end).chars().filter(c -> c == ',').count();
    }

    /** Returns the memory of the attributes beside their characters, in bytes. */
    public int attributeOverheadBytes() {
        return FIELD_BYTES * attributes.size();
    }

    /**
     * Returns the comment and the statement for a host, with the time that is left for its answer
     * in place of the client's value, where the client sent one.
     */
    public String withTimeLeft(long millis) {
        StringBuilder sql = new StringBuilder(text.length() + 160).append(COMMENT_START);
        char separator = ' ';
        for (Map.Entry<String, String> attribute : attributes.entrySet()) {
            sql.append(separator)
                    .append(attribute.getKey())
                    .append('=')
                    .append(
                            attribute.getKey().equals(TIME_LEFT)
                                    ? Long.toString(millis)
                                    : attribute.getValue());
            separator = ',';
        }
        return sql.append(' ').append(COMMENT_END).append(' ').append(text).toString();
    }

    /**
     * Returns the value of an attribute.
     *
     * @throws PgException if it is absent or empty
     */
    public String required(String name) {
        String value = attributes.get(name);
        if (value == null || value.isEmpty()) {
            throw new PgException(PgException.SYNTAX_ERROR, "the comment has no value for " + name);
        }
        return value;
    }

    /**
     * Returns the value of an attribute that must be an integer.
     *
     * @throws PgException if it is absent, not an integer or out of range; both bounds are
     *     inclusive
     */
    public long requiredLong(String name, long min, long max) {
        String value = required(name);
        try {
            long number = Long.parseLong(value);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a value that is out of range.
        }
        throw new PgException(
                PgException.SYNTAX_ERROR,
                "the comment's "
                        + name
                        + " is not an integer from "
                        + min
                        + " to "
                        + max
                        + ": "
                        + value.substring(0, Math.min(MAX_QUOTED_CHARS, value.length())));
    }

    /**
     * Returns the row's key, which is the first quoted literal; null if there is none.
     *
     * @throws PgException if the literal is unterminated
     */
    public String rowKey() {
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
        throw new PgException(PgException.SYNTAX_ERROR, "unterminated quoted string");
    }
}
