package ironwind.standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A discovery service over HTTP that always returns the same full host list: at once to a plain
 * request, and after {@code wait_ms}, at most one minute, to a long poll.
 */
public final class StandInDiscovery implements AutoCloseable {
    private static final String WAIT_PARAMETER = "wait_ms=";
    private static final long MAX_WAIT_MS = 60_000;

    private final HttpServer server;
    private final ExecutorService executor =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task, "discovery");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final String registry;

    /** Serves one group with number 0, whose first host is the primary, on a free loopback port. */
    public StandInDiscovery(List<StandInHost> hosts) throws IOException {
        StringBuilder entries = new StringBuilder();
        for (int i = 0; i < hosts.size(); i++) {
            InetSocketAddress address = hosts.get(i).address();
            entries.append(i == 0 ? "" : ",")
                    .append("{\"id\":\"h")
                    .append(i)
                    .append("\",\"addr\":\"127.0.0.1:")
                    .append(address.getPort())
                    .append("\",\"zone\":\"north\",\"kind\":\"plain\",\"cell\":0,\"state\":")
                    .append("\"Ready\",\"weight\":1.0,\"started_ms\":0,\"role\":\"")
                    .append(i == 0 ? "primary" : "replica")
                    .append("\"}");
        }
        registry = "{\"version\":1,\"full\":true,\"servers\":[" + entries + "]}";
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.setExecutor(executor);
        server.createContext("/registry/instances", this::handle);
        server.start();
    }

    /** Returns the port that the service listens on. */
    public int port() {
        return server.getAddress().getPort();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try {
            String query = exchange.getRequestURI().getQuery();
            int start = query == null ? -1 : query.indexOf(WAIT_PARAMETER);
            if (start >= 0) {
                String wait = query.substring(start + WAIT_PARAMETER.length()).split("&")[0];
                Thread.sleep(Math.min(MAX_WAIT_MS, Long.parseLong(wait)));
            }
            byte[] body = registry.getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }
}
