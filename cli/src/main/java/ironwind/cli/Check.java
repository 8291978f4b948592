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

/** Check a configuration without starting anything. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description =
                "Check an installation's HCL file; all that is wrong is told at once, by file and line.")
final class Check implements Callable<Integer> {
    /** What a router has where nobody says otherwise: DEPLOY's limits. */
    private static final Limits USUAL =
            Limits.defaults(535, 192, Span.ofMillis(1_000), Span.ofMillis(3_000));

    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "FILE")
    private Path file;

    @Option(
            names = "--facts",
            paramLabel = "FILE",
            description = "JSON of a router's start facts, from which the defaults come.")
    private Path facts;

    @Override
    public Integer call() {
        Limits limits = facts == null ? USUAL : RouterConfig.read(facts).clientLimits();
        try {
            OperatorSettings.read(file, limits);
        } catch (HclException fault) {
            fault.messages().forEach(spec.commandLine().getErr()::println);
            return 1;
        }
        spec.commandLine().getOut().println(file + ": good");
        return 0;
    }
}
