package ironwind.net;

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

/** What a host said in one use of a connection. */
final class HostAnswer {
    private static final int MILLIS = 3;
    private static final int SECONDS = 6;

    /** Before or after the point: a Unix time in milliseconds has 13 for some centuries to come. */
    private static final int MOST_DIGITS = 15;

    private static final Span ROUNDED_UP = Span.ofMillis(1);

    private byte[] description;
    private byte[] data;
    private String tag;
    private Ending failed;
    private final Map<String, String> parameters = new HashMap<>();

    /** A {@link PgException} tells what does not belong into one answer, or not at its place. */
    void hear(HostMessage message) {
        if (message instanceof HostMessage.ParameterStatus parameter) {
            parameters.put(parameter.name(), parameter.value());
            return;
        } else if (message instanceof HostMessage.Ignored) {
            return;
        }
        boolean inPlace = failed == null && tag == null;
        if (message instanceof HostMessage.RowDescription part) {
            inPlace &= description == null;
            description = part.body();
        } else if (message instanceof HostMessage.DataRow part) {
            inPlace &= description != null && data == null;
            data = part.body();
        } else if (message instanceof HostMessage.CommandComplete complete) {
            inPlace &= data != null;
            tag = complete.tag();
        } else if (message instanceof HostMessage.ErrorResponse error) {
            failed = Ending.of(error.error());
        }
        if (!inPlace) {
            throw new PgException(
                    PgException.PROTOCOL_VIOLATION, "an answer's messages come out of their order");
        }
    }

    /** How it ended, if no more comes. */
    Ending ending() {
        return failed != null ? failed : tag != null ? Ending.SERVED : Ending.MALFORMED_ANSWER;
    }

    /**
     * Whether all that an answer needs has come: the rest is only whether the connection may be
     * used again.
     */
    boolean isWhole() {
        return failed != null || tag != null;
    }

    Row row() {
        return new Row(description, data, tag);
    }

    Role role() {
        return switch (parameters.getOrDefault("role", "")) {
            case "primary" -> Role.PRIMARY;
            case "replica" -> Role.REPLICA;
            default -> Role.UNKNOWN;
        };
    }

    /** The position it told, rounded down to what is sure; {@link Moment#NEVER} for none. */
    Moment position(Moment now) {
        return moment(parameters.get("applied_ms"), MILLIS, now);
    }

    /** The role and position of a load report, which a probe's row holds. */
    Role reportedRole() {
        BigDecimal leads = number(reported("x1"));
        return leads == null
                ? Role.UNKNOWN
                : leads.compareTo(BigDecimal.ONE) >= 0 ? Role.PRIMARY : Role.REPLICA;
    }

    Moment reportedPosition(Moment now) {
        return moment(reported("x0"), SECONDS, now);
    }

    /**
     * The decimals are read exactly: a position that came out too high would let a read see too
     * little.
     */
    private static Moment moment(String text, int digitsToMicros, Moment now) {
        BigDecimal number = number(text);
        if (number == null || number.signum() <= 0) {
            return Moment.NEVER;
        }
        Moment told =
                new Moment(
                        number.movePointRight(digitsToMicros)
                                .setScale(0, RoundingMode.FLOOR)
                                .longValue());
        // All machines read one clock: nothing can have been applied that is still to come.
        return told.after(now.plus(ROUNDED_UP)) ? Moment.NEVER : told;
    }

    private String reported(String name) {
        String report = data == null ? null : row().text();
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

    private static BigDecimal number(String text) {
        try {
            BigDecimal number = text == null ? null : new BigDecimal(text);
            boolean sane =
                    number != null
                            && number.precision() - number.scale() <= MOST_DIGITS
                            && number.scale() <= MOST_DIGITS;
            return sane ? number : null;
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
