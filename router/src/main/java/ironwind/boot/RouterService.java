package ironwind.boot;

import ironwind.config.ConfigException;
import ironwind.config.OperatorSettings;
import ironwind.config.RouterConfig;
import ironwind.net.Log;
import ironwind.net.Router;
import java.nio.file.Path;
import sun.misc.Signal;

/** Runs a router as a process: SIGTERM drains and stops it, SIGHUP reloads its configuration. */
public final class RouterService {
    private final Path file;
    private final Log log;
    private final Router router;

    /**
     * Creates a service; {@link #run} starts the router.
     *
     * @param file the file of the router configuration, read again on SIGHUP
     * @param config the router configuration
     * @param settings the operator settings
     * @param log receives the router's log lines
     */
    public RouterService(Path file, RouterConfig config, OperatorSettings settings, Log log) {
        this.file = file;
        this.log = log;
        this.router = new Router(config, settings, log);
    }

    /**
     * Serves until the process is terminated. Fails if the router cannot start, for example because
     * its address is in use.
     *
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public void run() throws InterruptedException {
        Signal.handle(new Signal("HUP"), signal -> reload());
        router.start().await();
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    router.drain().await();
                                    router.stop().await();
                                    Runtime.getRuntime().halt(0);
                                }));
        Thread.currentThread().join();
    }

    /**
     * Reloads the router configuration; if the file is unreadable or malformed, the current one is
     * kept.
     */
    private void reload() {
        try {
            router.reload(RouterConfig.read(file));
        } catch (RuntimeException e) {
            log.warn("reload_failed", "cause", e instanceof ConfigException ? e.getMessage() : e);
        }
    }
}
