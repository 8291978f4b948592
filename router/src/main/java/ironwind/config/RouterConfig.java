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

/** The facts that a real router is started with. */
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
    /** DEPLOY and LATER: no router gets less. */
    private static final int LEAST_MEMORY_MB = 32;

    /**
     * Descriptors for all that is no connection of a client or a host: files, selectors, discovery.
     */
    private static final int OTHER_DESCRIPTORS = 32;

    /** Of the others, the part that connections to hosts may take. */
    private static final double HOSTS_PART = 0.4;

    /**
     * Of the clients' part, what the door lets in beyond it, so that one that comes can take
     * another's place.
     */
    private static final double SPARE_PART = 0.1;

    /**
     * Reads them from a JSON file; a {@link ConfigException} tells what is missing or malformed.
     */
    public static RouterConfig read(Path file) {
        try {
            return read(new JsonObject(Files.readString(file)));
        } catch (IOException e) {
            throw new ConfigException(file + " cannot be read: " + e);
        } catch (DecodeException e) {
            throw new ConfigException(file + " is no JSON: " + e.getMessage());
        }
    }

    public static RouterConfig read(JsonObject json) {
        PropertySource top = new JsonPropertySource("configuration", json);
        PropertySource settings = new JsonPropertySource("settings", child(json, "settings"));
        Deployment deployment = DeploymentReader.read(settings);
        return new RouterConfig(
                top.need("name"),
                Address.parse(top.need("listen")),
                Address.parse(top.need("discovery")),
                seed(top),
                top.needSmall("limits.sockets"),
                top.small("limits.memory_mb", LEAST_MEMORY_MB),
                child(json, "known"),
                deployment,
                NameIndex.read(settings, deployment),
                new Span(settings.needWhole("caps.connect_timeout_us")),
                new Span(settings.needWhole("caps.idle_close_us")),
                new Span(settings.needWhole("rules.answer_slack_us")));
    }

    /**
     * Limits on client connections, where nothing else is said: a part of the descriptors is
     * theirs.
     */
    public Limits clientLimits() {
        int clients = maxClientConnections();
        int spare = Math.max(1, (int) (SPARE_PART * clients));
        List<Span> deadlines =
                deployment.methods().stream().map(Method::deadline).sorted().toList();
        return Limits.defaults(
                clients - spare,
                memoryMb,
                deadlines.isEmpty() ? Span.ZERO : deadlines.get(0),
                deadlines.isEmpty() ? Span.ZERO : deadlines.get(deadlines.size() - 1));
    }

    /** Descriptors for connections to hosts. */
    public int maxHostConnections() {
        return (int) (HOSTS_PART * forConnections());
    }

    /** Descriptors for clients, those included that are on their way in or out. */
    public int maxClientConnections() {
        return forConnections() - maxHostConnections();
    }

    private int forConnections() {
        return Math.max(2, maxSockets - OTHER_DESCRIPTORS);
    }

    /** The same facts, but for how long connections to hosts may take to come up. */
    public RouterConfig withConnectTimeout(Span time) {
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
                time,
                hostIdleTimeout,
                answerSlack);
    }

    private static JsonObject child(JsonObject json, String key) {
        if (json.getValue(key) instanceof JsonObject object) {
            return object;
        }
        throw new ConfigException("configuration." + key + " is missing");
    }

    private static long seed(PropertySource top) {
        try {
            return Long.parseUnsignedLong(top.need("seed"), 16);
        } catch (NumberFormatException e) {
            throw top.fault("seed", "is no hexadecimal number of 64 bits");
        }
    }
}
