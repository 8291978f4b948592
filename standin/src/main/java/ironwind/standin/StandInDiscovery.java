package ironwind.standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Discovery: one list for all, told whole to who asks, and to a watch after its wait. */
public final class StandInDiscovery implements AutoCloseable {
    private static final String WAIT = "wait_ms=";
    private static final long LONGEST_WAIT_MS = 60_000;

    private final HttpServer server;
    private final ExecutorService threads =
            Executors.newCachedThreadPool(
                    action -> {
                        Thread thread = new Thread(action, "discovery");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final String list;

    /** One group, number 0; the first host is its primary. */
    public StandInDiscovery(List<StandInHost> hosts) throws IOException {
        StringBuilder entries = new StringBuilder();
        for (int i = 0; i < hosts.size(); i++) {
            InetSocketAddress at = hosts.get(i).address();
            entries.append(i == 0 ? "" : ",")
                    .append("{\"id\":\"h")
                    .append(i)
                    .append("\",\"addr\":\"127.0.0.1:")
                    .append(at.getPort())
                    .append("\",\"zone\":\"north\",\"kind\":\"plain\",\"cell\":0,\"state\":")
                    .append("\"Ready\",\"weight\":1.0,\"started_ms\":0,\"role\":\"")
                    .append(i == 0 ? "primary" : "replica")
                    .append("\"}");
        }
        list = "{\"version\":1,\"full\":true,\"servers\":[" + entries + "]}";
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.setExecutor(threads);
        server.createContext("/registry/instances", this::answer);
        server.start();
    }

    public int port() {
        return server.getAddress().getPort();
    }

    private void answer(HttpExchange exchange) throws IOException {
        try {
            String query = exchange.getRequestURI().getQuery();
            int at = query == null ? -1 : query.indexOf(WAIT);
            if (at >= 0) {
                String wait = query.substring(at + WAIT.length()).split("&")[0];
                Thread.sleep(Math.min(LONGEST_WAIT_MS, Long.parseLong(wait)));
            }
            byte[] body = list.getBytes(StandardCharsets.UTF_8);
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
        threads.shutdownNow();
    }
}
