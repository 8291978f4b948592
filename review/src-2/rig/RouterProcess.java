package rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A router, started by the command {@code run} of the deploy file. */
final class RouterProcess implements AutoCloseable {
    private static final long READY_TIMEOUT_MS = 30_000;

    private final Process process;
    private final Path folder;
    private final Record record;
    final int port;

    private RouterProcess(Process process, Path folder, int port, Record record) {
        this.process = process;
        this.folder = folder;
        this.port = port;
        this.record = record;
    }

    /** Starts a router and waits until it answers an empty query, as the front does. */
    static RouterProcess start(Settings settings, DiscoveryStandIn discovery, Path folder,
            Record record) throws IOException {
        int port = Sockets.freePort();
        Path config = folder.resolve("config.json");
        Files.writeString(config, settings.config(port, discovery));
        Path temporary = Files.createDirectories(folder.resolve("tmp"));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand())
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("router.log").toFile());
        builder.environment().put("ROUTER_NAME", "n1");
        builder.environment().put("ROUTER_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("ROUTER_DISCOVERY", "127.0.0.1:" + discovery.port());
        builder.environment().put("ROUTER_CONFIG", config.toString());
        builder.environment().put("TMPDIR", temporary.toString());
        RouterProcess router = new RouterProcess(builder.start(), folder, port, record);
        Runtime.getRuntime().addShutdownHook(new Thread(router.process::destroyForcibly));
        router.awaitReady();
        return router;
    }

    /** Returns the command {@code run} of the deploy file in the current folder. */
    private static String runCommand() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("deploy/balancer.toml"));
        for (String line : lines) {
            if (line.startsWith("run = \"")) {
                return line.substring(7, line.indexOf('"', 7));
            }
        }
        throw new IOException("deploy/balancer.toml has no line run");
    }

    private void awaitReady() throws IOException {
        long end = System.currentTimeMillis() + READY_TIMEOUT_MS;
        while (System.currentTimeMillis() < end && process.isAlive()) {
            try (Caller caller = new Caller(port)) {
                if (caller.ask("", end - System.currentTimeMillis()).end() == Caller.End.SERVED) {
                    record.add("the router is ready");
                    return;
                }
            } catch (IOException notListening) {
                Sockets.sleep(50);
            }
        }
        throw new IOException("the router was not ready in time");
    }

    /** Sends SIGTERM. */
    void terminate() {
        record.add("SIGTERM to the router");
        process.destroy();
    }

    /** Replaces its configuration and sends SIGHUP. */
    void reload(Settings settings, DiscoveryStandIn discovery) throws IOException {
        Path next = folder.resolve("config.next");
        Files.writeString(next, settings.config(port, discovery));
        Files.move(next, folder.resolve("config.json"),
                java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        record.add("SIGHUP to the router");
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Ends the process at once and adds its log to the record. */
    @Override
    public void close() throws IOException {
        boolean alive = process.isAlive();
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        record.append("log of the router, which " + (alive ? "was running" : "had ended")
                + " at the end of the run:", folder.resolve("router.log"));
    }
}
