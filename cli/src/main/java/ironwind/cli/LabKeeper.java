package ironwind.cli;

import ironwind.lab.KeeperBenchmark;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** What deciding costs. */
@Command(
        name = "keeper",
        mixinStandardHelpOptions = true,
        description =
                "Measure what deciding on connections costs, and what is kept of each, without sockets.")
final class LabKeeper implements Callable<Integer> {
    @Option(
            names = "--connections",
            split = ",",
            defaultValue = "1000,10000,100000",
            paramLabel = "N",
            description = "Connections kept (default: ${DEFAULT-VALUE}).")
    private List<Integer> sizes;

    @Override
    public Integer call() throws Exception {
        new KeeperBenchmark(System.out).run(sizes);
        return 0;
    }
}
