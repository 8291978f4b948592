package ironwind.cli;

import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;

/**
 * The {@code ironwind} command and its subcommands. Exit codes: 0 for success, 1 for failure, 2 for
 * invalid arguments.
 */
@Command(
        name = "ironwind",
        mixinStandardHelpOptions = true,
        versionProvider = Ironwind.Version.class,
        description =
                "A proxy in front of a primary and its replicas, with tools to run and to measure it.",
        subcommands = {
            Serve.class,
            Adapter.class,
            Check.class,
            Lab.class,
            AutoComplete.GenerateCompletion.class
        })
public final class Ironwind {
    private Ironwind() {}

    /** Runs the command given by the arguments and exits with its code. */
    public static void main(String[] args) {
        System.exit(commandLine().execute(args));
    }

    static CommandLine commandLine() {
        return new CommandLine(new Ironwind())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setExecutionExceptionHandler(
                        (exception, command, result) -> {
                            command.getErr().println("ironwind: " + exception.getMessage());
                            return CommandLine.ExitCode.SOFTWARE;
                        });
    }

    /** Reads the version from the manifest of the jar. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Ironwind.class.getPackage().getImplementationVersion();
            return new String[] {"ironwind " + (version == null ? "(unpackaged)" : version)};
        }
    }
}
