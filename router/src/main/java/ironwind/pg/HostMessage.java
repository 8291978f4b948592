package ironwind.pg;

import java.util.Arrays;
import java.util.regex.Pattern;

/** What a database host says. */
public sealed interface HostMessage {
    /** The types of messages that {@link #decode} knows. */
    String TYPES = "RSTDCEZNKIAv";

    /** What follows a column's name, and what stands before a value. */
    int COLUMN_BYTES = 18;

    int ROW_HEAD_BYTES = 6;
    Pattern SQLSTATE = Pattern.compile("[0-9A-Z]{5}");
    Pattern TAG = Pattern.compile("[A-Z]+( [0-9]+)*");

    record Welcome() implements HostMessage {}

    record Parameter(String name, String value) implements HostMessage {}

    record Description(byte[] body) implements HostMessage {}

    record Data(byte[] body) implements HostMessage {}

    record Complete(String tag) implements HostMessage {}

    record Failed(PgError failure) implements HostMessage {}

    /** What needs no reply and changes nothing, such as a notice. */
    record Skipped() implements HostMessage {}

    record Ready() implements HostMessage {}

    static HostMessage decode(Frame frame) {
        byte[] body = frame.body();
        return switch (frame.type()) {
            case 'R' -> welcome(body);
            case 'S' -> parameter(body);
            case 'T' -> new Description(oneColumn(body));
            case 'D' -> new Data(oneValue(body));
            case 'C' -> new Complete(tag(body));
            case 'E' -> new Failed(failure(body));
            case 'Z' -> ready(body);
            case 'N', 'K', 'I', 'A', 'v' -> new Skipped();
            default ->
                    throw new PgException(
                            PgException.PROTOCOL, "no message has the type " + (int) frame.type());
        };
    }

    private static HostMessage welcome(byte[] body) {
        if (!Arrays.equals(body, new byte[4])) {
            throw new PgException(PgException.UNSUPPORTED, "the host asks for a password");
        }
        return new Welcome();
    }

    /** What can't be read is passed over: the answer that it came with is as good as without it. */
    private static HostMessage parameter(byte[] body) {
        try {
            String name = WireFormat.text(body, 0);
            return new Parameter(name, WireFormat.text(body, name.length() + 1));
        } catch (PgException unreadable) {
            return new Skipped();
        }
    }

    private static byte[] oneColumn(byte[] body) {
        boolean one =
                body.length > 2
                        && body[0] == 0
                        && body[1] == 1
                        && WireFormat.text(body, 2).length() + 1 + COLUMN_BYTES == body.length - 2;
        return check(one, body, "a description is not that of one column");
    }

    private static byte[] oneValue(byte[] body) {
        boolean one =
                body.length >= ROW_HEAD_BYTES
                        && body[0] == 0
                        && body[1] == 1
                        && Math.max(0, WireFormat.int4(body, 2)) == body.length - ROW_HEAD_BYTES;
        return check(one, body, "a row does not hold one value");
    }

    private static HostMessage ready(byte[] body) {
        check(
                body.length == 1 && "ITE".indexOf(body[0]) >= 0,
                body,
                "a host is ready in no known state");
        return new Ready();
    }

    private static String tag(byte[] body) {
        String tag = WireFormat.wholeText(body);
        check(TAG.matcher(tag).matches(), body, "no command completes with such a tag");
        return tag;
    }

    private static byte[] check(boolean holds, byte[] body, String otherwise) {
        if (!holds) {
            throw new PgException(PgException.PROTOCOL, otherwise);
        }
        return body;
    }

    private static PgError failure(byte[] body) {
        String code = "";
        String message = "";
        String detail = null;
        int at = 0;
        while (at < body.length && body[at] != 0) {
            char field = (char) body[at];
            String value = WireFormat.text(body, at + 1);
            at += value.length() + 2;
            switch (field) {
                case 'C' -> code = value;
                case 'M' -> message = value;
                case 'D' -> detail = value;
                default -> {}
            }
        }
        check(
                at == body.length - 1 && SQLSTATE.matcher(code).matches(),
                body,
                "an error has no code that can be read");
        return new PgError(code, message, detail);
    }
}
