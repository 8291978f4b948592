package ironwind.cli;

import ironwind.lab.ConnectionManagerBenchmark;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code ironwind lab keeper}: measures what connection admission and eviction decisions cost. */
@Command(
        name = "keeper",
        mixinStandardHelpOptions = true,
        description =
                "Measure the time and memory of connection admission and eviction, without sockets.")
final class LabConnectionManager implements Callable<Integer> {
    @Option(
            names = "--connections",
            split = ",",
            defaultValue = "1000,10000,100000",
            paramLabel = "N",
            description = "Open connections (default: ${DEFAULT-VALUE}).")
    private List<Integer> connectionCounts;

    @Override
    public Integer call() throws Exception {
        new ConnectionManagerBenchmark(System.out).run(connectionCounts);
        return 0;
    }
}
