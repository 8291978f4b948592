package ironwind.start;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import ironwind.model.Deployment;
import ironwind.model.Span;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The facts that a real router is started with. */
public record StartFacts(
        String name,
        Address listen,
        Address discovery,
        long seed,
        int mostSockets,
        int memoryMb,
        JsonObject knownHosts,
        Deployment deployment,
        Names names,
        Span connectTime,
        Span hostIdleTime,
        Span answerSlack) {
    /** DEPLOY and LATER: no router gets less. */
    private static final int LEAST_MEMORY_MB = 32;

    /** Reads them from a JSON file; a {@link StartFault} tells what is missing or malformed. */
    public static StartFacts read(Path file) {
        try {
            return read(new JsonObject(Files.readString(file)));
        } catch (IOException e) {
            throw new StartFault(file + " cannot be read: " + e);
        } catch (DecodeException e) {
            throw new StartFault(file + " is no JSON: " + e.getMessage());
        }
    }

    public static StartFacts read(JsonObject json) {
        NamedValues top = new JsonValues("configuration", json);
        NamedValues settings = new JsonValues("settings", child(json, "settings"));
        Deployment deployment = DeploymentReader.read(settings);
        return new StartFacts(top.need("name"), Address.parse(top.need("listen")),
                Address.parse(top.need("discovery")), seed(top), top.needSmall("limits.sockets"),
                top.small("limits.memory_mb", LEAST_MEMORY_MB),
                child(json, "known"), deployment, Names.read(settings, deployment),
                new Span(settings.needWhole("caps.connect_timeout_us")),
                new Span(settings.needWhole("caps.idle_close_us")),
                new Span(settings.needWhole("rules.answer_slack_us")));
    }

    /** The same facts, but for how long connections to hosts may take to come up. */
    public StartFacts withConnectTime(Span time) {
        return new StartFacts(name, listen, discovery, seed, mostSockets, memoryMb, knownHosts, deployment, names, time,
                hostIdleTime, answerSlack);
    }

    private static JsonObject child(JsonObject json, String key) {
        if (json.getValue(key) instanceof JsonObject object) {
            return object;
        }
        throw new StartFault("configuration." + key + " is missing");
    }

    private static long seed(NamedValues top) {
        try {
            return Long.parseUnsignedLong(top.need("seed"), 16);
        } catch (NumberFormatException e) {
            throw top.fault("seed", "is no hexadecimal number of 64 bits");
        }
    }
}
