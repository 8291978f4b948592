package ironwind.net;

import ironwind.model.Moment;
import ironwind.model.Role;
import ironwind.model.Span;
import ironwind.pg.HostMessage;
import ironwind.pg.Row;
import java.util.HashMap;
import java.util.Map;

/** What a host said in one use of a connection. */
final class HostWord {
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
        double ms = number(parameters.get("applied_ms"));
        return ms > 0 ? new Moment((long) Math.floor(ms * 1_000)) : Moment.NEVER;
    }

    /** The role and position of a load report, which a probe's row holds. */
    Role reportedRole() {
        double leads = number(reported("x1"));
        return Double.isNaN(leads) ? Role.UNTOLD : leads >= 1 ? Role.PRIMARY : Role.REPLICA;
    }

    Moment reportedPosition() {
        double seconds = number(reported("x0"));
        return seconds > 0 ? Moment.NEVER.later(new Moment(0).plus(new Span((long) Math.floor(seconds * 1e6))))
                : Moment.NEVER;
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

    private static double number(String text) {
        try {
            return text == null ? Double.NaN : Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
