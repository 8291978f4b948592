package ironwind.cli;

import picocli.CommandLine.Command;

/** Load and measurements. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        description = "Load, experiments and measurements.",
        subcommands = {LabIdle.class, LabKeeper.class, LabSockets.class})
final class Lab {}
