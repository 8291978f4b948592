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

/**
 * Watches the discovery service with long polling, and passes its updates to the {@link LogicTask}.
 */
final class Discovery {
    private static final String PATH = "/registry/instances";
    private static final String PRIMARY = "primary";

    /** How long a poll waits for an update; the protocol specification allows up to a minute. */
    private static final long POLL_WAIT_MS = 5_000;

    /**
     * Time for an answer beyond the wait: by the protocol specification, an update counts as
     * delivered this long after the wait.
     */
    private static final long RESPONSE_TIMEOUT_MS = 2_000;

    /** By the protocol specification, a watch continues if the next poll comes within 200 ms. */
    private static final long RETRY_DELAY_MS = 100;

    private final Vertx vertx;
    private HttpClientAgent client;
    private Address address;
    private final NameIndex names;
    private final LogicTask logicTask;
    private final HostConnectionPool pool;
    private final Counters counters;
    private final Log log;
    private long version = -1;
    private boolean stopped;
    private boolean failing;
    private Runnable onFirstAnswer = () -> {};

    /** Creates a watch that {@link #start} begins. */
    Discovery(
            Vertx vertx,
            RouterConfig config,
            LogicTask logicTask,
            HostConnectionPool pool,
            Counters counters,
            Log log) {
        this.vertx = vertx;
        this.address = config.discovery();
        this.names = config.names();
        this.logicTask = logicTask;
        this.pool = pool;
        this.counters = counters;
        this.log = log;
        this.client = newClient();
    }

    private HttpClientAgent newClient() {
        return vertx.createHttpClient(
                new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(1));
    }

    /**
     * Applies the initial host list and starts polling.
     *
     * @param initialHostList a list as the discovery service would send it
     * @param firstAnswer runs once, after the first valid answer of the service
     */
    void start(JsonObject initialHostList, Runnable firstAnswer) {
        apply(initialHostList);
        version = -1;
        onFirstAnswer = firstAnswer;
        poll();
    }

    /**
     * Switches to another address: drops the current watch, including answers that are still in
     * flight, and requests a full list there. Does nothing if the address is the same.
     */
    void switchTo(Address next) {
        if (!stopped && !next.equals(address)) {
            HttpClientAgent previous = client;
            address = next;
            client = newClient();
            version = -1;
            poll();
            previous.close();
        }
    }

    private void poll() {
        if (stopped) {
            return;
        }
        HttpClientAgent pollClient = client;
        boolean watch = version >= 0;
        String uri = watch ? PATH + "?after=" + version + "&wait_ms=" + POLL_WAIT_MS : PATH;
        long idleTimeout = RESPONSE_TIMEOUT_MS + (watch ? POLL_WAIT_MS : 0);
        // A poll that gets no data for this long fails, and its connection is closed; the next poll
        // opens another.
        client.request(
                        new RequestOptions()
                                .setMethod(HttpMethod.GET)
                                .setHost(address.ip())
                                .setPort(address.port())
                                .setURI(uri)
                                .setConnectTimeout(RESPONSE_TIMEOUT_MS)
                                .setIdleTimeout(idleTimeout))
                .compose(request -> request.send().expecting(HttpResponseExpectation.SC_OK))
                .compose(HttpClientResponse::body)
                .onSuccess(body -> onResponse(pollClient, body))
                .onFailure(cause -> onFailure(pollClient, cause));
    }

    private void onResponse(HttpClientAgent pollClient, Buffer body) {
        if (pollClient != client) {
            return;
        }
        try {
            apply(body.toJsonObject());
        } catch (RuntimeException malformed) {
            onFailure(pollClient, malformed);
            return;
        }
        if (failing) {
            log.info("discovery_back", "version", version);
            failing = false;
        }
        onFirstAnswer.run();
        onFirstAnswer = () -> {};
        poll();
    }

    private void onFailure(HttpClientAgent pollClient, Throwable cause) {
        if (pollClient != client || stopped) {
            return;
        }
        if (!failing) {
            log.warn("discovery_failed", "cause", cause);
            failing = true;
        }
        vertx.setTimer(
                RETRY_DELAY_MS,
                timer -> {
                    if (pollClient == client) {
                        poll();
                    }
                });
    }

    /** Applies an answer after all of it has been parsed, so that a malformed one has no effect. */
    private void apply(JsonObject answer) {
        JsonArray servers = answer.getJsonArray("servers");
        boolean full = answer.getBoolean("full", true);
        List<HostEntry> entries = new ArrayList<>();
        Map<String, Address> addresses = new HashMap<>();
        for (int i = 0; i < servers.size(); i++) {
            JsonObject server = servers.getJsonObject(i);
            HostEntry entry = parseEntry(server);
            entries.add(entry);
            addresses.put(entry.id(), Address.parse(server.getString("addr")));
        }
        version = answer.getLong("version");
        if (full || !entries.isEmpty()) {
            counters.add(Count.DISCOVERY_UPDATES);
            logicTask.onDiscoveryUpdate(full, entries, () -> addresses.forEach(pool::setAddress));
        }
    }

    private HostEntry parseEntry(JsonObject server) {
        String state = server.getString("state");
        DiscoveryState discoveryState =
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
                indexOf(names.zones(), server.getString("zone")),
                indexOf(names.kinds(), server.getString("kind")),
                server.getInteger("cell", 0),
                discoveryState,
                server.getDouble("weight", 1.0),
                started,
                PRIMARY.equals(server.getString("role")));
    }

    /** Returns the index of a name; all names that are not listed share the next free index. */
    private static int indexOf(List<String> knownNames, String name) {
        int index = knownNames.indexOf(name);
        return index < 0 ? knownNames.size() : index;
    }

    /** Ends the watch. */
    void stop() {
        stopped = true;
        client.close();
    }
}
