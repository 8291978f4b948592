package ironwind.cli;

import ironwind.lab.SocketBenchmark;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * {@code ironwind lab sockets}: measures the live heap per connection at one layer of the I/O
 * libraries.
 */
@Command(
        name = "sockets",
        mixinStandardHelpOptions = true,
        description =
                "Measure the live heap of one accepted connection by the layers above its socket.")
final class LabSockets implements Callable<Integer> {
    @Option(
            names = "--connections",
            defaultValue = "4000",
            description = "Number of connections (default: ${DEFAULT-VALUE}).")
    private int connections;

    @Option(
            names = "--way",
            defaultValue = "vertx",
            description = "Layer: ${COMPLETION-CANDIDATES}.")
    private SocketBenchmark.Layer layer;

    @Override
    public Integer call() throws Exception {
        new SocketBenchmark(System.out).run(layer, connections);
        return 0;
    }
}
