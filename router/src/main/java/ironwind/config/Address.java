package ironwind.config;

/** An IP address and a port. */
public record Address(String ip, int port) {
    private static final int MOST_PORT = 65_535;

    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port >= 0 && port <= MOST_PORT) {
                return new Address(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // told below, with the text
        }
        throw new ConfigException("'" + text + "' is no address and port");
    }

    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
