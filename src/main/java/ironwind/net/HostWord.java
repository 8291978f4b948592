package ironwind.net;

import ironwind.model.Moment;
import ironwind.model.Role;
import ironwind.pg.HostMessage;
import ironwind.pg.Row;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.HashMap;
import java.util.Map;

/** What a host said in one use of a connection. */
final class HostWord {
    private static final int MILLIS = 3;
    private static final int SECONDS = 6;
    /** Before or after the point: a Unix time in milliseconds has 13 for some centuries to come. */
    private static final int MOST_DIGITS = 15;

    private byte[] description;
    private byte[] data;
    private int rows;
    private String tag;
    private Ending failed;
    private final Map<String, String> parameters = new HashMap<>();

    void hear(HostMessage message) {
        if (message instanceof HostMessage.Parameter parameter) {
            parameters.put(parameter.name(), parameter.value());
        } else if (message instanceof HostMessage.Description part) {
            description = part.body();
        } else if (message instanceof HostMessage.Data part) {
            data = part.body();
            rows++;
        } else if (message instanceof HostMessage.Complete complete) {
            tag = complete.tag();
        } else if (message instanceof HostMessage.Failed error) {
            failed = Ending.of(error.failure());
        }
    }

    /** How it ended, if no more comes. */
    Ending ending() {
        return failed != null ? failed : served() ? Ending.SERVED : Ending.GARBLED;
    }

    /** Whether all that an answer needs has come: the rest is only whether the connection may be used again. */
    boolean isWhole() {
        return failed != null || served();
    }

    private boolean served() {
        return description != null && rows == 1 && tag != null;
    }

    Row row() {
        return new Row(description, data, tag);
    }

    Role role() {
        return switch (parameters.getOrDefault("role", "")) {
            case "primary" -> Role.PRIMARY;
            case "replica" -> Role.REPLICA;
            default -> Role.UNTOLD;
        };
    }

    /** The position it told, rounded down to what is sure; {@link Moment#NEVER} for none. */
    Moment position() {
        return moment(parameters.get("applied_ms"), MILLIS);
    }

    /** The role and position of a load report, which a probe's row holds. */
    Role reportedRole() {
        BigDecimal leads = number(reported("x1"));
        return leads == null ? Role.UNTOLD : leads.compareTo(BigDecimal.ONE) >= 0 ? Role.PRIMARY : Role.REPLICA;
    }

    Moment reportedPosition() {
        return moment(reported("x0"), SECONDS);
    }

    /** The decimals are read exactly: a position that came out too high would let a read see too little. */
    private static Moment moment(String text, int digitsToMicros) {
        BigDecimal number = number(text);
        return number == null || number.signum() <= 0 ? Moment.NEVER
                : new Moment(number.movePointRight(digitsToMicros).setScale(0, RoundingMode.FLOOR).longValue());
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
            boolean sane = number != null && number.precision() - number.scale() <= MOST_DIGITS
                    && number.scale() <= MOST_DIGITS;
            return sane ? number : null;
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
