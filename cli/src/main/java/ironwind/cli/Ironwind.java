package ironwind.cli;

import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;

/**
 * {@code ironwind}: all commands. Exit codes: 0 done, 1 it could not be done, 2 it was asked
 * wrongly.
 */
@Command(
        name = "ironwind",
        mixinStandardHelpOptions = true,
        versionProvider = Ironwind.Version.class,
        description =
                "A proxy before a primary and its replicas, with what is needed to run and to measure it.",
        subcommands = {
            Serve.class,
            Adapter.class,
            Check.class,
            Lab.class,
            AutoComplete.GenerateCompletion.class
        })
public final class Ironwind {
    private Ironwind() {}

    public static void main(String[] args) {
        System.exit(line().execute(args));
    }

    static CommandLine line() {
        return new CommandLine(new Ironwind())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setExecutionExceptionHandler(
                        (fault, line, parsed) -> {
                            line.getErr().println("ironwind: " + fault.getMessage());
                            return CommandLine.ExitCode.SOFTWARE;
                        });
    }

    /** Of the jar it runs from. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Ironwind.class.getPackage().getImplementationVersion();
            return new String[] {"ironwind " + (version == null ? "(unpackaged)" : version)};
        }
    }
}
