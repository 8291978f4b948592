package ironwind.boot;

import ironwind.config.ConfigException;
import ironwind.config.OperatorSettings;
import ironwind.config.RouterConfig;
import ironwind.net.Log;
import ironwind.net.Router;
import java.nio.file.Path;
import sun.misc.Signal;

/** A router as a process: SIGTERM lets it drain and end, SIGHUP has it read its facts again. */
public final class RouterService {
    private final Path file;
    private final Log log;
    private final Router router;

    /** {@code file}: where the facts came from. */
    public RouterService(Path file, RouterConfig facts, OperatorSettings installation, Log log) {
        this.file = file;
        this.log = log;
        this.router = new Router(facts, installation, log);
    }

    /** Serves until the process is asked to end; throws where it can't begin. */
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

    /** A file that can't be read or is not whole leaves what holds in force. */
    private void reload() {
        try {
            router.reload(RouterConfig.read(file));
        } catch (RuntimeException e) {
            log.warn("reload_failed", "cause", e instanceof ConfigException ? e.getMessage() : e);
        }
    }
}
