package ironwind.config;

/** Thrown when a router's configuration is missing, incomplete or malformed. */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message for the operator. */
    public ConfigException(String message) {
        super(message);
    }
}
