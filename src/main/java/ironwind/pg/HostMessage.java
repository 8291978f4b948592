package ironwind.pg;

import java.util.Arrays;

/** What a database host says. */
public sealed interface HostMessage {
    record Welcome() implements HostMessage { }

    record Parameter(String name, String value) implements HostMessage { }

    record Description(byte[] body) implements HostMessage { }

    record Data(byte[] body) implements HostMessage { }

    record Complete(String tag) implements HostMessage { }

    record Failed(Failure failure) implements HostMessage { }

    /** What needs no reply and changes nothing, such as a notice. */
    record Skipped() implements HostMessage { }

    record Ready() implements HostMessage { }

    static HostMessage decode(Frame frame) {
        byte[] body = frame.body();
        return switch (frame.type()) {
            case 'R' -> welcome(body);
            case 'S' -> {
                String name = Pg.text(body, 0);
                yield new Parameter(name, Pg.text(body, name.length() + 1));
            }
            case 'T' -> new Description(body);
            case 'D' -> new Data(body);
            case 'C' -> new Complete(Pg.text(body, 0));
            case 'E' -> new Failed(failure(body));
            case 'Z' -> new Ready();
            case 'N', 'K', 'I', 'A', 'v' -> new Skipped();
            default -> throw new PgFault(PgFault.PROTOCOL, "no message has the type " + (int) frame.type());
        };
    }

    private static HostMessage welcome(byte[] body) {
        if (!Arrays.equals(body, new byte[4])) {
            throw new PgFault(PgFault.UNSUPPORTED, "the host asks for a password");
        }
        return new Welcome();
    }

    private static Failure failure(byte[] body) {
        String code = Failure.INTERNAL;
        String message = "";
        String detail = null;
        for (int at = 0; at < body.length && body[at] != 0;) {
            char field = (char) body[at];
            String value = Pg.text(body, at + 1);
            at += value.length() + 2;
            switch (field) {
                case 'C' -> code = value;
                case 'M' -> message = value;
                case 'D' -> detail = value;
                default -> { }
            }
        }
        return new Failure(code, message, detail);
    }
}
