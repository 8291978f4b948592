package ironwind.config;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import ironwind.idle.Limits;
import ironwind.model.Deployment;
import ironwind.model.Method;
import ironwind.model.Span;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The configuration of a router process, read from a JSON file.
 *
 * @param name the router's name
 * @param listen where clients connect
 * @param discovery the discovery service
 * @param seed the seed of random decisions
 * @param maxSockets file descriptors that the process may open
 * @param memoryMb memory that the process may use, in MiB
 * @param initialHostList the host list to start with, as the discovery service would send it
 * @param deployment the part of the configuration that the decision logic uses
 * @param names external names of methods, customers, zones and host kinds
 * @param connectTimeout time that connecting to a host may take
 * @param hostIdleTimeout time after which a host closes an idle connection
 * @param answerSlack time after an RPC's deadline by which it must have been answered
 */
public record RouterConfig(
        String name,
        Address listen,
        Address discovery,
        long seed,
        int maxSockets,
        int memoryMb,
        JsonObject initialHostList,
        Deployment deployment,
        NameIndex names,
        Span connectTimeout,
        Span hostIdleTimeout,
        Span answerSlack) {
    /** Default of {@code limits.memory_mb}; no router is given less. */
    private static final int DEFAULT_MEMORY_MB = 32;

    /** Descriptors that are not connections of clients or hosts: files, selectors, discovery. */
    private static final int RESERVED_DESCRIPTORS = 32;

    /** Share of the remaining descriptors that connections to hosts may take. */
    private static final double HOST_CONNECTION_SHARE = 0.4;

    /**
     * Share of the clients' descriptors that is left above the connection limit, so that a new
     * connection can be accepted before an existing one is closed to make room for it.
     */
    private static final double SPARE_CLIENT_SHARE = 0.1;

    /**
     * Reads a JSON file.
     *
     * @throws ConfigException if the file cannot be read, or a value is missing or malformed
     */
    public static RouterConfig read(Path file) {
        try {
            return read(new JsonObject(Files.readString(file)));
        } catch (IOException e) {
            throw new ConfigException(file + " cannot be read: " + e);
        } catch (DecodeException e) {
            throw new ConfigException(file + " is not valid JSON: " + e.getMessage());
        }
    }

    /**
     * Reads a JSON object.
     *
     * @throws ConfigException if a value is missing or malformed
     */
    public static RouterConfig read(JsonObject json) {
        PropertySource root = new JsonPropertySource("configuration", json);
        PropertySource settings = new JsonPropertySource("settings", child(json, "settings"));
        Deployment deployment = DeploymentReader.read(settings);
        return new RouterConfig(
                root.requireString("name"),
                Address.parse(root.requireString("listen")),
                Address.parse(root.requireString("discovery")),
                parseSeed(root),
                root.requireInt("limits.sockets"),
                root.getInt("limits.memory_mb", DEFAULT_MEMORY_MB),
                child(json, "known"),
                deployment,
                NameIndex.read(settings, deployment),
                new Span(settings.requireLong("caps.connect_timeout_us")),
                new Span(settings.requireLong("caps.idle_close_us")),
                new Span(settings.requireLong("rules.answer_slack_us")));
    }

    /**
     * Returns the default limits on client connections, derived from descriptors, memory and the
     * methods' deadlines.
     */
    public Limits clientLimits() {
        int clientDescriptors = clientDescriptors();
        int spare = Math.max(1, (int) (SPARE_CLIENT_SHARE * clientDescriptors));
        List<Span> deadlines =
                deployment.methods().stream().map(Method::deadline).sorted().toList();
        return Limits.defaults(
                clientDescriptors - spare,
                memoryMb,
                deadlines.isEmpty() ? Span.ZERO : deadlines.get(0),
                deadlines.isEmpty() ? Span.ZERO : deadlines.get(deadlines.size() - 1));
    }

    /** Returns the number of descriptors for connections to hosts. */
    public int hostDescriptors() {
        return (int) (HOST_CONNECTION_SHARE * connectionDescriptors());
    }

    /**
     * Returns the number of descriptors for connections of clients, including those that are being
     * accepted or closed.
     */
    public int clientDescriptors() {
        return connectionDescriptors() - hostDescriptors();
    }

    private int connectionDescriptors() {
        return Math.max(2, maxSockets - RESERVED_DESCRIPTORS);
    }

    /** Returns a copy with another time limit for connecting to hosts. */
    public RouterConfig withConnectTimeout(Span timeout) {
        return new RouterConfig(
                name,
                listen,
                discovery,
                seed,
                maxSockets,
                memoryMb,
                initialHostList,
                deployment,
                names,
                timeout,
                hostIdleTimeout,
                answerSlack);
    }

    private static JsonObject child(JsonObject json, String key) {
        if (json.getValue(key) instanceof JsonObject object) {
            return object;
        }
        throw new ConfigException("configuration." + key + " is missing");
    }

    private static long parseSeed(PropertySource root) {
        try {
            return Long.parseUnsignedLong(root.requireString("seed"), 16);
        } catch (NumberFormatException e) {
            throw root.error("seed", "is not a 64-bit hexadecimal number");
        }
    }
}
