package ironwind.cli;

import io.vertx.core.json.JsonArray;
import ironwind.lab.IdleBenchmark;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code ironwind lab idle}: measures what idle connections cost. */
@Command(
        name = "idle",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Measure what idle connections cost routers on one core, on loopback.")
final class LabIdle implements Callable<Integer> {
    @Option(
            names = "--jar",
            paramLabel = "NAME=FILE",
            description =
                    "Router jar to measure, and its name in the results; may be "
                            + "repeated (default: now=router/target/ironwind-router.jar).")
    private Map<String, Path> jars = new LinkedHashMap<>();

    @Option(
            names = "--connections",
            split = ",",
            defaultValue = "0,1000,10000,18000",
            paramLabel = "N",
            description = "Total idle connections, ascending (default: ${DEFAULT-VALUE}).")
    private List<Integer> connectionCounts;

    @Option(names = "--routers", defaultValue = "1", description = "Routers that share the core.")
    private int routers;

    @Option(
            names = "--rate",
            defaultValue = "300",
            description = "Requests per second of the constant load (default: ${DEFAULT-VALUE}).")
    private int rate;

    @Option(
            names = "--seconds",
            defaultValue = "10",
            description = "Duration of each measurement in seconds (default: ${DEFAULT-VALUE}).")
    private double seconds;

    @Option(
            names = "--wake-ms",
            defaultValue = "20000",
            description =
                    "Deadline in ms of the requests that all idle clients send at once at the end; "
                            + "0 sends none (default: ${DEFAULT-VALUE}).")
    private long wakeMs;

    @Option(
            names = "--slow-readers",
            defaultValue = "0",
            description = "Clients that at the end send requests and never read the responses.")
    private int slowReaders;

    @Option(
            names = "--core",
            defaultValue = "0",
            description = "CPU to pin the routers to; -1: none.")
    private int core;

    @Option(names = "--heap-mb", defaultValue = "512", description = "Heap of each router's JVM.")
    private int heapMb;

    @Option(names = "--config", paramLabel = "FILE", description = "HCL file for the routers.")
    private Path settingsFile;

    @Option(names = "--json", paramLabel = "FILE", description = "Write the results as JSON.")
    private Path json;

    @Option(
            names = "--small",
            description = "Run with a few connections for a few seconds, as a smoke test.")
    private boolean small;

    @Override
    public Integer call() throws Exception {
        if (jars.isEmpty()) {
            jars.put("now", Path.of("router/target/ironwind-router.jar"));
        }
        IdleBenchmark.Plan plan =
                small
                        ? new IdleBenchmark.Plan(
                                jars, List.of(0, 50), 1, 50, 1, 5_000, 5, -1, 128, settingsFile)
                        : new IdleBenchmark.Plan(
                                jars,
                                connectionCounts,
                                routers,
                                rate,
                                seconds,
                                wakeMs,
                                slowReaders,
                                core,
                                heapMb,
                                settingsFile);
        JsonArray figures = new IdleBenchmark(plan, System.out).run();
        if (json != null) {
            Files.writeString(json, figures.encodePrettily() + "\n");
        }
        return 0;
    }
}
