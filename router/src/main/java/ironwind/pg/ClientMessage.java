package ironwind.pg;

/** A message from a client to a server. */
public sealed interface ClientMessage {
    /** A StartupMessage. Its parameters are ignored. */
    record Startup() implements ClientMessage {}

    /** An SSLRequest or GSSENCRequest, which the router always rejects. */
    record EncryptionRequest() implements ClientMessage {}

    /** A CancelRequest. */
    record CancelRequest() implements ClientMessage {}

    /**
     * A Query of the simple query protocol.
     *
     * @param sql the query text, one char per byte
     */
    record Query(String sql) implements ClientMessage {}

    /** A Terminate message. */
    record Terminate() implements ClientMessage {}

    /**
     * A message of the extended query protocol, or a FunctionCall. The first one is answered with
     * an error, and those that follow are skipped until the next {@link Sync}.
     */
    record ExtendedQuery() implements ClientMessage {}

    /** A Sync message. */
    record Sync() implements ClientMessage {}

    /** The type bytes that {@link #decode} accepts. */
    String TYPES = "QXSPBDECHF";

    /**
     * The supported major version of the protocol, in the upper 16 bits of a StartupMessage's code.
     */
    int MAJOR_VERSION = 3;

    /** The request code of a CancelRequest. */
    int CANCEL_REQUEST_CODE = 80_877_102;

    /** The request code of an SSLRequest. */
    int SSL_REQUEST_CODE = 80_877_103;

    /** The request code of a GSSENCRequest. */
    int GSSENC_REQUEST_CODE = 80_877_104;

    /**
     * Decodes a frame.
     *
     * @throws PgException if the type is unknown, the body is malformed or the protocol version is
     *     not supported
     */
    static ClientMessage decode(Frame frame) {
        byte[] body = frame.body();
        return switch (frame.type()) {
            case Frame.STARTUP -> decodeStartup(body);
            case 'Q' -> new Query(WireFormat.readSoleString(body));
            case 'X' -> new Terminate();
            case 'S' -> new Sync();
            case 'P', 'B', 'D', 'E', 'C', 'H', 'F' -> new ExtendedQuery();
            default ->
                    throw new PgException(
                            PgException.PROTOCOL_VIOLATION,
                            "unknown message type " + (int) frame.type());
        };
    }

    private static ClientMessage decodeStartup(byte[] body) {
        if (body.length < 4) {
            throw new PgException(PgException.PROTOCOL_VIOLATION, "startup message is too short");
        }
        int code = WireFormat.readInt32(body, 0);
        return switch (code) {
            case CANCEL_REQUEST_CODE -> new CancelRequest();
            case SSL_REQUEST_CODE, GSSENC_REQUEST_CODE -> new EncryptionRequest();
            default -> {
                if (code >> 16 != MAJOR_VERSION) {
                    throw new PgException(
                            PgException.FEATURE_NOT_SUPPORTED,
                            "only protocol version 3 is supported");
                }
                yield new Startup();
            }
        };
    }
}
