package ironwind.pg;

/** What a client says. */
public sealed interface ClientMessage {
    /** The start-up message; its parameters steer nothing here. */
    record Startup() implements ClientMessage {}

    /** A request for encryption, which is answered with a no. */
    record Encryption() implements ClientMessage {}

    record CancelRequest() implements ClientMessage {}

    record Query(String sql) implements ClientMessage {}

    record Terminate() implements ClientMessage {}

    /** A message of the extended query protocol: skipped until {@link Sync}. */
    record Extended() implements ClientMessage {}

    record Sync() implements ClientMessage {}

    /** The types of messages that {@link #decode} knows. */
    String TYPES = "QXSPBDECHF";

    int VERSION_3 = 3;
    int CANCEL = 80_877_102;
    int SSL = 80_877_103;
    int GSS = 80_877_104;

    static ClientMessage decode(Frame frame) {
        byte[] body = frame.body();
        return switch (frame.type()) {
            case Frame.STARTUP -> startup(body);
            case 'Q' -> new Query(WireFormat.wholeText(body));
            case 'X' -> new Terminate();
            case 'S' -> new Sync();
            case 'P', 'B', 'D', 'E', 'C', 'H', 'F' -> new Extended();
            default ->
                    throw new PgException(
                            PgException.PROTOCOL, "no message has the type " + (int) frame.type());
        };
    }

    private static ClientMessage startup(byte[] body) {
        if (body.length < 4) {
            throw new PgException(PgException.PROTOCOL, "the start-up message is too short");
        }
        int version = WireFormat.int4(body, 0);
        return switch (version) {
            case CANCEL -> new CancelRequest();
            case SSL, GSS -> new Encryption();
            default -> {
                if (version >> 16 != VERSION_3) {
                    throw new PgException(
                            PgException.UNSUPPORTED,
                            "only version 3 of the protocol is spoken here");
                }
                yield new Startup();
            }
        };
    }
}
