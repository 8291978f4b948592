package ironwind.cli;

import ironwind.boot.Service;
import ironwind.net.Log;
import ironwind.start.Installation;
import ironwind.start.Installation.LogForm;
import ironwind.start.StartFacts;
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
    private LogForm form;

    @Override
    public Integer call() throws Exception {
        StartFacts start = StartFacts.read(facts);
        Installation installation = Installation.of(start, config);
        Log log = new Log(new LogbackSink(form == null ? installation.logForm() : form));
        new Service(facts, start, installation, log).run();
        return 0;
    }
}
