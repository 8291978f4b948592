package ironwind.pg;

import java.util.Arrays;
import java.util.regex.Pattern;

/** A message from a database host. */
public sealed interface HostMessage {
    /** The type bytes that {@link #decode} accepts. */
    String TYPES = "RSTDCEZNKIAv";

    /** Length of a column's fixed-size fields, which follow its name in a RowDescription. */
    int COLUMN_FIELDS_BYTES = 18;

    /** Length of the column count and the value's length, which precede the value in a DataRow. */
    int ROW_HEADER_BYTES = 6;

    /** The form of an SQLSTATE code. */
    Pattern SQLSTATE = Pattern.compile("[0-9A-Z]{5}");

    /** Largest command tag, in bytes: PostgreSQL's own limit. */
    int MAX_COMMAND_TAG_BYTES = 64;

    /** Largest name and value of a ParameterStatus, in bytes; a larger parameter is ignored. */
    int MAX_PARAMETER_BYTES = 8 * 1024;

    /**
     * Largest body of an ErrorResponse, in bytes. Its fields have two bytes at least, and an object
     * is created for each.
     */
    int MAX_ERROR_BYTES = 16 * 1024;

    /**
     * The form of a command tag. Matching it takes a level of recursion for each number, so the
     * length is checked first.
     */
    Pattern COMMAND_TAG = Pattern.compile("[A-Z]+( [0-9]+)*");

    /** An AuthenticationOk. */
    record AuthenticationOk() implements HostMessage {}

    /** A ParameterStatus. */
    record ParameterStatus(String name, String value) implements HostMessage {}

    /** A RowDescription of one column. */
    record RowDescription(byte[] body) implements HostMessage {}

    /** A DataRow of one value. */
    record DataRow(byte[] body) implements HostMessage {}

    /** A CommandComplete. */
    record CommandComplete(String tag) implements HostMessage {}

    /** An ErrorResponse. */
    record ErrorResponse(PgError error) implements HostMessage {}

    /** An EmptyQueryResponse. */
    record EmptyQueryResponse() implements HostMessage {}

    /** A message that needs no response and has no effect, such as a notice. */
    record Ignored() implements HostMessage {}

    /** A ReadyForQuery. */
    record ReadyForQuery() implements HostMessage {}

    /**
     * Decodes a frame.
     *
     * @throws PgException if the type is unknown, the body is malformed, a result does not have
     *     exactly one column, or the host requires authentication
     */
    static HostMessage decode(Frame frame) {
        byte[] body = frame.body();
        return switch (frame.type()) {
            case 'R' -> decodeAuthentication(body);
            case 'S' -> decodeParameterStatus(body);
            case 'T' -> new RowDescription(checkRowDescription(body));
            case 'D' -> new DataRow(checkDataRow(body));
            case 'C' -> new CommandComplete(decodeCommandTag(body));
            case 'E' -> new ErrorResponse(decodeError(body));
            case 'Z' -> decodeReadyForQuery(body);
            case 'I' -> new EmptyQueryResponse();
            case 'N', 'K', 'A', 'v' -> new Ignored();
            default ->
                    throw new PgException(
                            PgException.PROTOCOL_VIOLATION,
                            "unknown message type " + (int) frame.type());
        };
    }

    private static HostMessage decodeAuthentication(byte[] body) {
        if (!Arrays.equals(body, new byte[4])) {
            throw new PgException(
                    PgException.FEATURE_NOT_SUPPORTED,
                    "the host requires authentication, which is not supported");
        }
        return new AuthenticationOk();
    }

    /**
     * Ignores a malformed or oversized parameter, because the answer that it came with is valid
     * without it.
     */
    private static HostMessage decodeParameterStatus(byte[] body) {
        if (body.length > MAX_PARAMETER_BYTES) {
            return new Ignored();
        }
        try {
            String name = WireFormat.readString(body, 0);
            return new ParameterStatus(name, WireFormat.readString(body, name.length() + 1));
        } catch (PgException malformed) {
            return new Ignored();
        }
    }

    private static byte[] checkRowDescription(byte[] body) {
        boolean oneColumn =
                body.length > 2
                        && body[0] == 0
                        && body[1] == 1
                        && WireFormat.readString(body, 2).length() + 1 + COLUMN_FIELDS_BYTES
                                == body.length - 2;
        return check(oneColumn, body, "RowDescription does not have exactly one column");
    }

    private static byte[] checkDataRow(byte[] body) {
        boolean oneValue =
                body.length >= ROW_HEADER_BYTES
                        && body[0] == 0
                        && body[1] == 1
                        && Math.max(0, WireFormat.readInt32(body, 2))
                                == body.length - ROW_HEADER_BYTES;
        return check(oneValue, body, "DataRow does not have exactly one value");
    }

    private static HostMessage decodeReadyForQuery(byte[] body) {
        check(
                body.length == 1 && "ITE".indexOf(body[0]) >= 0,
                body,
                "ReadyForQuery has an unknown transaction status");
        return new ReadyForQuery();
    }

    private static String decodeCommandTag(byte[] body) {
        check(
                body.length <= MAX_COMMAND_TAG_BYTES,
                body,
                "CommandComplete has a tag that is too long");
        String tag = WireFormat.readSoleString(body);
        check(COMMAND_TAG.matcher(tag).matches(), body, "CommandComplete has a malformed tag");
        return tag;
    }

    private static byte[] check(boolean valid, byte[] body, String message) {
        if (!valid) {
            throw new PgException(PgException.PROTOCOL_VIOLATION, message);
        }
        return body;
    }

    private static PgError decodeError(byte[] body) {
        check(body.length <= MAX_ERROR_BYTES, body, "ErrorResponse is too long");
        String sqlState = "";
        String message = "";
        String detail = null;
        int at = 0;
        while (at < body.length && body[at] != 0) {
            char field = (char) body[at];
            String value = WireFormat.readString(body, at + 1);
            at += value.length() + 2;
            switch (field) {
                case 'C' -> sqlState = value;
                case 'M' -> message = value;
                case 'D' -> detail = value;
                default -> {}
            }
        }
        check(
                at == body.length - 1 && SQLSTATE.matcher(sqlState).matches(),
                body,
                "ErrorResponse is malformed or has no valid SQLSTATE");
        return new PgError(sqlState, message, detail);
    }
}
