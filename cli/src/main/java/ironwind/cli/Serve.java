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
            description = "JSON file of start facts (default: the file named by ROUTER_CONFIG).")
    private Path facts;

    @Option(
            names = "--config",
            defaultValue = "${env:IRONWIND_HCL}",
            paramLabel = "FILE",
            description =
                    "HCL file of this installation (default: the file named by IRONWIND_HCL, if any).")
    private Path config;

    @Option(
            names = "--log",
            paramLabel = "FORM",
            description = "pairs or json; overrides log.form in the HCL file.")
    private LogFormat form;

    @Override
    public Integer call() throws Exception {
        RouterConfig start = RouterConfig.read(facts);
        OperatorSettings installation = OperatorSettings.readOrDefaults(start, config);
        Log log = new Log(new LogbackSink(form == null ? installation.logFormat() : form));
        new RouterService(facts, start, installation, log).run();
        return 0;
    }
}
