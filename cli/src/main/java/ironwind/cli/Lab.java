package ironwind.cli;

import picocli.CommandLine.Command;

/** {@code ironwind lab}: groups the benchmarks. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        description = "Load generators and benchmarks.",
        subcommands = {LabIdle.class, LabConnectionManager.class, LabSockets.class})
final class Lab {}
