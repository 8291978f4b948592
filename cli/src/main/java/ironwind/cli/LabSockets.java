package ironwind.cli;

import ironwind.lab.SocketTrial;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** What a connection costs by the layers above its socket. */
@Command(
        name = "sockets",
        mixinStandardHelpOptions = true,
        description =
                "Measure the live heap of one accepted connection by the layers above its socket.")
final class LabSockets implements Callable<Integer> {
    @Option(
            names = "--connections",
            defaultValue = "4000",
            description = "How many (default: ${DEFAULT-VALUE}).")
    private int connections;

    @Option(names = "--way", defaultValue = "vertx", description = "${COMPLETION-CANDIDATES}")
    private SocketTrial.Way way;

    @Override
    public Integer call() throws Exception {
        new SocketTrial(System.out).run(way, connections);
        return 0;
    }
}
