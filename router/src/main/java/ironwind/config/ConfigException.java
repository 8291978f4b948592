package ironwind.config;

/** What is wrong with the facts that a router was to be started with. */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public ConfigException(String what) {
        super(what);
    }
}
