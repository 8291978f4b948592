package ironwind.net;

import ironwind.idle.MemoryReservation;
import ironwind.model.Moment;
import ironwind.model.Role;
import ironwind.model.Span;
import ironwind.pg.HostMessage;
import ironwind.pg.PgException;
import ironwind.pg.Row;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.HashMap;
import java.util.Map;

/** The messages that a host sent in answer to one request, or during the startup sequence. */
final class HostAnswer {
    /** Decimal digits between milliseconds and microseconds. */
    private static final int MILLIS_SCALE = 3;

    /** Decimal digits between seconds and microseconds. */
    private static final int SECONDS_SCALE = 6;

    /**
     * Most digits before the decimal point, and most after it. A Unix time in milliseconds will
     * have 13 before the point for some centuries.
     */
    private static final int MAX_DIGITS = 15;

    /**
     * Longest text of a number: sign, digits, decimal point and exponent. The cost of parsing grows
     * with the square of the length.
     */
    private static final int MAX_NUMBER_CHARS = 64;

    /** Largest row of a load report, in bytes. A report has a few short values. */
    private static final int MAX_LOAD_REPORT_BYTES = 8 * 1024;

    /** How far a position may be ahead of the clock, because hosts may round up to milliseconds. */
    private static final Span ROUNDING_TOLERANCE = Span.ofMillis(1);

    /** Memory of a parameter beside its text, in bytes: two strings and an entry of a map. */
    private static final int PARAMETER_BYTES = 160;

    /** When its first message arrived; {@link Moment#NEVER} before that. */
    private Moment beganAt = Moment.NEVER;

    private byte[] rowDescription;
    private byte[] dataRow;
    private String commandTag;
    private Ending errorEnding;
    private final Map<String, String> parameters = new HashMap<>();
    private long heldBytes;

    /** Memory that is reserved for it; null if the connection has it. */
    private MemoryReservation memory;

    /**
     * Adds the next message.
     *
     * @throws PgException if the message is not allowed at this point of an answer
     */
    void add(HostMessage message) {
        if (message instanceof HostMessage.ParameterStatus parameter) {
            parameters.put(parameter.name(), parameter.value());
            heldBytes += PARAMETER_BYTES + parameter.name().length() + parameter.value().length();
            return;
        } else if (message instanceof HostMessage.Ignored) {
            return;
        }
        boolean inOrder = errorEnding == null && commandTag == null;
        if (message instanceof HostMessage.RowDescription part) {
            inOrder &= rowDescription == null;
            rowDescription = part.body();
            heldBytes += rowDescription.length;
        } else if (message instanceof HostMessage.DataRow part) {
            inOrder &= rowDescription != null && dataRow == null;
            dataRow = part.body();
            heldBytes += dataRow.length;
        } else if (message instanceof HostMessage.CommandComplete complete) {
            inOrder &= dataRow != null;
            commandTag = complete.tag();
            heldBytes += commandTag.length();
        } else if (message instanceof HostMessage.ErrorResponse error) {
            errorEnding = Ending.of(error.error());
        } else if (message instanceof HostMessage.EmptyQueryResponse) {
            inOrder = false;
        }
        if (!inOrder) {
            throw new PgException(
                    PgException.PROTOCOL_VIOLATION, "unexpected order of messages in an answer");
        }
    }

    /** Records that data of the answer has arrived; only the first call has an effect. */
    void recordArrival(Moment now) {
        if (!beganAt.after(Moment.NEVER)) {
            beganAt = now;
        }
    }

    /** Returns when the first data of the answer arrived; {@link Moment#NEVER} if none has. */
    Moment beganAt() {
        return beganAt;
    }

    /** Returns the memory that the messages take, in bytes. */
    long heldBytes() {
        return heldBytes;
    }

    /** Takes over the memory that is reserved for it; {@link #release} releases it. */
    void takeOver(MemoryReservation reserved) {
        memory = reserved;
    }

    /** Releases the memory of an answer that is used no more; null stands for no answer. */
    static void release(HostAnswer answer) {
        if (answer != null && answer.memory != null) {
            answer.memory.release();
        }
    }

    /** Returns how the request has ended if no further message comes. */
    Ending ending() {
        return errorEnding != null
                ? errorEnding
                : commandTag != null ? Ending.SERVED : Ending.MALFORMED_ANSWER;
    }

    /**
     * Whether the answer is complete. A ReadyForQuery that follows only tells that the connection
     * can be used again.
     */
    boolean isComplete() {
        return errorEnding != null || commandTag != null;
    }

    /** Returns the answer's row; parts of it that have not arrived are null. */
    Row row() {
        return new Row(rowDescription, dataRow, commandTag);
    }

    /** Returns the role that the host reported; {@link Role#UNKNOWN} for none. */
    Role role() {
        return switch (parameters.getOrDefault("role", "")) {
            case "primary" -> Role.PRIMARY;
            case "replica" -> Role.REPLICA;
            default -> Role.UNKNOWN;
        };
    }

    /**
     * Returns the log position that the host reported, rounded down; {@link Moment#NEVER} if there
     * is none or it is invalid.
     */
    Moment position(Moment now) {
        return parsePosition(parameters.get("applied_ms"), MILLIS_SCALE, now);
    }

    /**
     * Returns the role in a load report, which is the row of a probe's answer; {@link Role#UNKNOWN}
     * for none.
     */
    Role loadReportRole() {
        BigDecimal primaryFlag = parseNumber(loadReportValue("x1"));
        return primaryFlag == null
                ? Role.UNKNOWN
                : primaryFlag.compareTo(BigDecimal.ONE) >= 0 ? Role.PRIMARY : Role.REPLICA;
    }

    /**
     * Returns the log position in a load report, rounded down; {@link Moment#NEVER} if there is
     * none or it is invalid.
     */
    Moment loadReportPosition(Moment now) {
        return parsePosition(loadReportValue("x0"), SECONDS_SCALE, now);
    }

    /**
     * Parses a position as a decimal number, not in floating point: a position that is rounded up
     * would let a read miss data.
     */
    private static Moment parsePosition(String text, int scale, Moment now) {
        BigDecimal number = parseNumber(text);
        if (number == null || number.signum() <= 0) {
            return Moment.NEVER;
        }
        Moment position =
                new Moment(
                        number.movePointRight(scale).setScale(0, RoundingMode.FLOOR).longValue());
        // All machines have the same clock, so no host can have applied a position in the future.
        return position.after(now.plus(ROUNDING_TOLERANCE)) ? Moment.NEVER : position;
    }

    /**
     * Returns a value of the load report, a list of name=value pairs; null if it is missing or the
     * report is too large.
     */
    private String loadReportValue(String name) {
        boolean readable = dataRow != null && dataRow.length <= MAX_LOAD_REPORT_BYTES;
        String report = readable ? row().text() : null;
        if (report != null) {
            for (String pair : report.split(",")) {
                int equals = pair.indexOf('=');
                if (equals == name.length() && pair.startsWith(name)) {
                    return pair.substring(equals + 1);
                }
            }
        }
        return null;
    }

    /** Returns null if the text is missing, too long, not a number or out of range. */
    private static BigDecimal parseNumber(String text) {
        if (text == null || text.length() > MAX_NUMBER_CHARS) {
            return null;
        }
        try {
            BigDecimal number = new BigDecimal(text);
            // In 64 bits, because an exponent may take the whole range of 32 bits.
            long integerDigits = (long) number.precision() - number.scale();
            boolean inRange = integerDigits <= MAX_DIGITS && number.scale() <= MAX_DIGITS;
            return inRange ? number : null;
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
