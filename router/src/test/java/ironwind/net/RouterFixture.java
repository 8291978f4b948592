package ironwind.net;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import ironwind.Logic;
import ironwind.config.RouterConfig;
import ironwind.model.Inbound;
import ironwind.model.Span;
import ironwind.pg.Encoder;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/**
 * A router on the loopback interface between a client, a primary, a replica and a discovery server,
 * all of which speak the public protocols to it.
 */
abstract class RouterFixture {
    /** Makes the discovery server close the connection instead of responding. */
    static final String CLOSE = "connection closed without a response";

    /** Makes the discovery server leave the request without a response. */
    static final String NO_RESPONSE = "no response";

    /** Precedes a response that falls silent after half of its body. */
    static final String STALL = "stall:";

    /** Size of the chunks in which the discovery server writes a response. */
    static final int DISCOVERY_CHUNK_BYTES = 1_021;

    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    static final String READ_TEMPLATE =
            "/* id=r%d,c=read,d=%d,cluster=2 */ SELECT val FROM state WHERE uid = 'k'";
    static final String WRITE_TEMPLATE =
            "/* id=r%d,c=write,d=%d,k=m,cluster=2 */ INSERT INTO state (uid) VALUES ('k')";
    static final JsonObject SETTINGS =
            new JsonObject(
                    """
        {"period_us": 5000, "peers_total": 1, "zones": ["north"], "kinds": ["plain"], "tenants": [],
         "lanes": [
          {"name": "read", "effect": "retryable", "deadline_us": 2000000, "goal_time_us": 400000,
           "worth": 2.0},
          {"name": "write", "effect": "fragile", "deadline_us": 2000000, "goal_time_us": 400000,
           "worth": 6}],
         "extra": {"read_level": ["loose", "update"], "when_behind": "off"},
         "caps": {"cancel": true, "may_probe": true, "parallel_tries": true, "most_tries": 4,
                  "retry_after": true, "max_retry_after_us": 250000, "connect_timeout_us": 250000,
                  "idle_close_us": 30000000},
         "rules": {"answer_slack_us": 20000, "drain_grace_us": 500000}, "prices": {"probe": 0.01}}""");

    final ExecutorService executor = Executors.newCachedThreadPool();
    final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    final BlockingQueue<String> discoveryResponses = new LinkedBlockingQueue<>();
    final List<AutoCloseable> resources = new ArrayList<>();
    volatile byte[] rowValue = {0, (byte) 0xff, 'x', 0};
    ScriptedHost primary;
    ScriptedHost replica;
    HttpServer discovery;
    RouterConfig config;
    Router router;
    int nextRequestId;

    @BeforeEach
    void setUp() throws Exception {
        primary = newHost("primary");
        replica = newHost("replica");
        discovery = startDiscovery(discoveryResponses);
        config = RouterConfig.read(configJson(discovery));
    }

    ScriptedHost newHost(String role) throws IOException {
        ScriptedHost host = new ScriptedHost(role, executor, () -> rowValue);
        resources.add(host);
        return host;
    }

    HttpServer startDiscovery(BlockingQueue<String> responses) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(LOOPBACK, 0), 0);
        server.setExecutor(executor);
        server.createContext(
                "/registry/instances",
                exchange -> {
                    try {
                        String response = responses.take();
                        if (response.equals(NO_RESPONSE)) {
                            new CountDownLatch(1).await();
                        } else if (response.equals(CLOSE)) {
                            return;
                        }
                        byte[] body = response.getBytes(StandardCharsets.UTF_8);
                        exchange.sendResponseHeaders(200, body.length);
                        if (response.startsWith(STALL)) {
                            exchange.getResponseBody().write(body, 0, body.length / 2);
                            exchange.getResponseBody().flush();
                            new CountDownLatch(1).await();
                        }
                        for (int offset = 0;
                                offset < body.length;
                                offset += DISCOVERY_CHUNK_BYTES) {
                            exchange.getResponseBody()
                                    .write(
                                            body,
                                            offset,
                                            Math.min(DISCOVERY_CHUNK_BYTES, body.length - offset));
                            exchange.getResponseBody().flush();
                        }
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    } finally {
                        exchange.close();
                    }
                });
        server.start();
        return server;
    }

    static JsonObject configJson(HttpServer discovery) {
        return new JsonObject()
                .put("name", "n1")
                .put("listen", "127.0.0.1:0")
                .put("discovery", "127.0.0.1:" + discovery.getAddress().getPort())
                .put("seed", "8c1f30d27a5be964")
                .put("limits", new JsonObject().put("sockets", 256))
                .put("settings", SETTINGS)
                .put(
                        "known",
                        new JsonObject()
                                .put("version", 1)
                                .put("full", true)
                                .put("servers", new JsonArray()));
    }

    Router routerWith(int maxSockets, Span hostIdleTimeout) {
        return new Router(
                        new RouterConfig(
                                config.name(),
                                config.listen(),
                                config.discovery(),
                                config.seed(),
                                maxSockets,
                                config.memoryMb(),
                                config.initialHostList(),
                                config.deployment(),
                                config.names(),
                                config.connectTimeout(),
                                hostIdleTimeout,
                                config.answerSlack()),
                        new Log(new PrintStream(logOutput, true)))
                .withoutWarmup();
    }

    /** Stands between a router and a method of its decision logic. */
    interface LogicInterceptor {
        /** Called instead of a method of the logic, which {@code logic} calls. */
        Object call(String method, Callable<Object> logic) throws Exception;
    }

    /** Creates a router whose decision logic is called through an interceptor. */
    Router routerWith(LogicInterceptor interceptor) {
        return new Router(
                        config,
                        new Log(new PrintStream(logOutput, true)),
                        outbound -> {
                            Inbound logic = new Logic(config.deployment(), config.seed(), outbound);
                            return (Inbound)
                                    Proxy.newProxyInstance(
                                            getClass().getClassLoader(),
                                            new Class<?>[] {Inbound.class},
                                            (proxy, method, arguments) ->
                                                    interceptor.call(
                                                            method.getName(),
                                                            () -> method.invoke(logic, arguments)));
                        })
                .withoutWarmup();
    }

    void startRouter(Router newRouter) throws Exception {
        router = newRouter;
        router.start().await(10, TimeUnit.SECONDS);
    }

    @AfterEach
    void tearDown() throws Exception {
        if (router != null) {
            router.stop().await(10, TimeUnit.SECONDS);
        }
        for (AutoCloseable resource : resources) {
            resource.close();
        }
        discovery.stop(0);
        executor.shutdownNow();
    }

    String hostListJson() {
        return hostListJson(2, primary.discoveryEntry(), replica.discoveryEntry());
    }

    static String hostListJson(int version, JsonObject... entries) {
        return new JsonObject()
                .put("version", version)
                .put("full", true)
                .put("servers", new JsonArray(List.of(entries)))
                .encode();
    }

    /**
     * Publishes the list of both hosts, starts the default router unless one is running, and
     * connects a client.
     */
    PgConnection publishHostsAndConnect() throws Exception {
        discoveryResponses.add(hostListJson());
        if (router == null) {
            startRouter(
                    new Router(config, new Log(new PrintStream(logOutput, true))).withoutWarmup());
        }
        return connectClient();
    }

    PgConnection connectClient() throws IOException {
        PgConnection client = openConnection();
        client.send(Encoder.startupMessage("client", "core"), Encoder.queryMessage(""));
        assertThat(client.readResponse()).isEqualTo("RSSSSZ");
        assertThat(client.readResponse()).isEqualTo("IZ");
        return client;
    }

    PgConnection openConnection() throws IOException {
        PgConnection connection = new PgConnection(new Socket(LOOPBACK, router.port()));
        resources.add(connection);
        return connection;
    }

    void assertReadSucceeds(PgConnection client) throws IOException {
        client.send(request(READ_TEMPLATE, 900));
        assertThat(client.readResponse()).isEqualTo("TDCZ");
    }

    byte[] request(String template, long timeLeftMs) {
        return Encoder.queryMessage(template.formatted(nextRequestId++, timeLeftMs));
    }

    /** Returns the bytes in a row of {@code SHOW memory}. */
    long memory(PgConnection client, String use) throws Exception {
        client.send(Encoder.queryMessage("SHOW memory"));
        return Long.parseLong(
                client.readTable().stream()
                        .filter(row -> row.get(0).equals(use))
                        .findFirst()
                        .orElseThrow()
                        .get(1));
    }
}
