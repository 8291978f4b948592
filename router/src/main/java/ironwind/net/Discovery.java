package ironwind.net;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpResponseExpectation;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import ironwind.config.Address;
import ironwind.config.NameIndex;
import ironwind.config.RouterConfig;
import ironwind.model.Host.DiscoveryState;
import ironwind.model.HostEntry;
import ironwind.model.Moment;
import ironwind.net.Counters.Count;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Keeps one watch open on discovery, and tells the module's task what it says. */
final class Discovery {
    private static final String PATH = "/registry/instances";
    private static final String PRIMARY = "primary";

    /** How long a watch waits for news; PROTOCOL allows up to a minute. */
    private static final long WAIT_MS = 5_000;

    /** PROTOCOL: what a call that may wait has to tell counts as told so long after the wait. */
    private static final long GRACE_MS = 2_000;

    /** PROTOCOL: a watch goes on if the next call comes within 200 ms. */
    private static final long RETRY_MS = 100;

    private final Vertx vertx;
    private HttpClientAgent client;
    private Address address;
    private final NameIndex names;
    private final LogicTask logic;
    private final HostConnectionPool hosts;
    private final Counters counters;
    private final Log log;
    private long version = -1;
    private boolean stopped;
    private boolean failing;
    private Runnable whenHeard = () -> {};

    Discovery(
            Vertx vertx,
            RouterConfig facts,
            LogicTask logic,
            HostConnectionPool hosts,
            Counters counters,
            Log log) {
        this.vertx = vertx;
        this.address = facts.discovery();
        this.names = facts.names();
        this.logic = logic;
        this.hosts = hosts;
        this.counters = counters;
        this.log = log;
        this.client = newClient();
    }

    private HttpClientAgent newClient() {
        return vertx.createHttpClient(
                new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(1));
    }

    /**
     * Tells what the router knew at its start, then asks for more; runs the action on the first
     * answer.
     */
    void start(JsonObject known, Runnable heard) {
        tell(known);
        version = -1;
        whenHeard = heard;
        ask();
    }

    /**
     * Leaves the present watch, and what it may still say, and asks for a full list at the new
     * address.
     */
    void switchTo(Address next) {
        if (!stopped && !next.equals(address)) {
            HttpClientAgent left = client;
            address = next;
            client = newClient();
            version = -1;
            ask();
            left.close();
        }
    }

    private void ask() {
        if (stopped) {
            return;
        }
        HttpClientAgent asked = client;
        boolean watch = version >= 0;
        String uri = watch ? PATH + "?after=" + version + "&wait_ms=" + WAIT_MS : PATH;
        long patience = GRACE_MS + (watch ? WAIT_MS : 0);
        // A call that is silent for so long is cut, and its connection with it: the next one opens
        // another.
        client.request(
                        new RequestOptions()
                                .setMethod(HttpMethod.GET)
                                .setHost(address.ip())
                                .setPort(address.port())
                                .setURI(uri)
                                .setConnectTimeout(GRACE_MS)
                                .setIdleTimeout(patience))
                .compose(request -> request.send().expecting(HttpResponseExpectation.SC_OK))
                .compose(HttpClientResponse::body)
                .onSuccess(body -> answered(asked, body))
                .onFailure(cause -> failed(asked, cause));
    }

    private void answered(HttpClientAgent asked, Buffer body) {
        if (asked != client) {
            return;
        }
        try {
            tell(body.toJsonObject());
        } catch (RuntimeException malformed) {
            failed(asked, malformed);
            return;
        }
        if (failing) {
            log.info("discovery_back", "version", version);
            failing = false;
        }
        whenHeard.run();
        whenHeard = () -> {};
        ask();
    }

    private void failed(HttpClientAgent asked, Throwable cause) {
        if (asked != client || stopped) {
            return;
        }
        if (!failing) {
            log.warn("discovery_failed", "cause", cause);
            failing = true;
        }
        vertx.setTimer(
                RETRY_MS,
                timer -> {
                    if (asked == client) {
                        ask();
                    }
                });
    }

    /** Reads all of an answer before any of it counts. */
    private void tell(JsonObject answer) {
        JsonArray servers = answer.getJsonArray("servers");
        boolean full = answer.getBoolean("full", true);
        List<HostEntry> entries = new ArrayList<>();
        Map<String, Address> addresses = new HashMap<>();
        for (int i = 0; i < servers.size(); i++) {
            JsonObject server = servers.getJsonObject(i);
            HostEntry entry = entry(server);
            entries.add(entry);
            addresses.put(entry.id(), Address.parse(server.getString("addr")));
        }
        version = answer.getLong("version");
        if (full || !entries.isEmpty()) {
            counters.add(Count.DISCOVERY_UPDATES);
            logic.onDiscoveryUpdate(full, entries, () -> addresses.forEach(hosts::setAddress));
        }
    }

    private HostEntry entry(JsonObject server) {
        String state = server.getString("state");
        DiscoveryState listing =
                switch (state) {
                    case "Ready" -> DiscoveryState.READY;
                    case "Terminating" -> DiscoveryState.DRAINING;
                    case "Gone" -> DiscoveryState.GONE;
                    default -> throw new IllegalArgumentException("unknown state " + state);
                };
        long startedMs = server.getLong("started_ms", 0L);
        Moment started = startedMs == 0 ? Moment.NEVER : Moment.ofMillis(startedMs);
        return new HostEntry(
                server.getString("id"),
                index(names.zones(), server.getString("zone")),
                index(names.kinds(), server.getString("kind")),
                server.getInteger("cell", 0),
                listing,
                server.getDouble("weight", 1.0),
                started,
                PRIMARY.equals(server.getString("role")));
    }

    /** Names that the settings don't have share the last number. */
    private static int index(List<String> known, String name) {
        int index = known.indexOf(name);
        return index < 0 ? known.size() : index;
    }

    void stop() {
        stopped = true;
        client.close();
    }
}
