package ironwind.cli;

import ironwind.boot.RouterService;
import ironwind.config.OperatorSettings;
import ironwind.config.OperatorSettings.LogFormat;
import ironwind.config.RouterConfig;
import ironwind.net.Log;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code ironwind serve}: runs a router. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = "Run a router until SIGTERM.")
final class Serve implements Callable<Integer> {
    @Option(
            names = "--facts",
            required = true,
            defaultValue = "${env:ROUTER_CONFIG}",
            paramLabel = "FILE",
            description =
                    "JSON file of the router configuration (default: the file named by ROUTER_CONFIG).")
    private Path routerConfigFile;

    @Option(
            names = "--config",
            defaultValue = "${env:IRONWIND_HCL}",
            paramLabel = "FILE",
            description =
                    "HCL file of the operator settings (default: the file named by IRONWIND_HCL, if any).")
    private Path settingsFile;

    @Option(
            names = "--log",
            paramLabel = "FORM",
            description = "pairs or json; overrides log.form in the HCL file.")
    private LogFormat format;

    @Override
    public Integer call() throws Exception {
        RouterConfig config = RouterConfig.read(routerConfigFile);
        OperatorSettings settings = OperatorSettings.readOrDefaults(config, settingsFile);
        Log log = new Log(new LogbackSink(format == null ? settings.logFormat() : format));
        new RouterService(routerConfigFile, config, settings, log).run();
        return 0;
    }
}
