package ironwind.config;

/**
 * An IP address and a port.
 *
 * @param ip the IP address as text
 * @param port the port, 0 to 65535
 */
public record Address(String ip, int port) {
    private static final int MAX_PORT = 65_535;

    /**
     * Parses {@code ip:port}.
     *
     * @throws ConfigException if the text has another form or the port is out of range
     */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port >= 0 && port <= MAX_PORT) {
                return new Address(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // reported below together with the text
        }
        throw new ConfigException("'" + text + "' is not an address of the form ip:port");
    }

    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
