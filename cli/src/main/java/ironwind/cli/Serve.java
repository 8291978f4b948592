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

/** Be a router. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = "Be a router until asked to end.")
final class Serve implements Callable<Integer> {
    @Option(
            names = "--facts",
            required = true,
            defaultValue = "${env:ROUTER_CONFIG}",
            paramLabel = "FILE",
            description =
                    "JSON with what the router is started with (default: what ROUTER_CONFIG names).")
    private Path facts;

    @Option(
            names = "--config",
            defaultValue = "${env:IRONWIND_HCL}",
            paramLabel = "FILE",
            description = "HCL of this installation (default: what IRONWIND_HCL names, else none).")
    private Path config;

    @Option(
            names = "--log",
            paramLabel = "FORM",
            description = "pairs or json; overrules the file.")
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
