package ironwind.cli;

import ironwind.config.OperatorSettings;
import ironwind.config.RouterConfig;
import ironwind.hcl.HclException;
import ironwind.idle.Limits;
import ironwind.model.Span;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code ironwind check}: validates an operator settings file without starting a router. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description =
                "Check an HCL file of operator settings; all errors are reported at once, by file and line.")
final class Check implements Callable<Integer> {
    /**
     * Limits used without a router configuration: those of the deployment described in DEPLOY, with
     * 535 client connections, 192 MB of memory and method deadlines from 1 s to 3 s.
     */
    private static final Limits DEFAULT_LIMITS =
            Limits.defaults(535, 192, Span.ofMillis(1_000), Span.ofMillis(3_000));

    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "FILE")
    private Path file;

    @Option(
            names = "--facts",
            paramLabel = "FILE",
            description =
                    "JSON file of a router configuration, from which the defaults are derived.")
    private Path routerConfigFile;

    @Override
    public Integer call() {
        Limits limits =
                routerConfigFile == null
                        ? DEFAULT_LIMITS
                        : RouterConfig.read(routerConfigFile).clientLimits();
        try {
            OperatorSettings.read(file, limits);
        } catch (HclException exception) {
            exception.messages().forEach(spec.commandLine().getErr()::println);
            return 1;
        }
        spec.commandLine().getOut().println(file + ": good");
        return 0;
    }
}
