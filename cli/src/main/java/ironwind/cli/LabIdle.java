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

/** What idle connections cost. */
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
                    "A text of the program to measure; may be "
                            + "repeated (default: now=router/target/ironwind-router.jar).")
    private Map<String, Path> jars = new LinkedHashMap<>();

    @Option(
            names = "--connections",
            split = ",",
            defaultValue = "0,1000,10000,18000",
            paramLabel = "N",
            description = "Idle connections in all, growing (default: ${DEFAULT-VALUE}).")
    private List<Integer> sizes;

    @Option(names = "--routers", defaultValue = "1", description = "Routers that share the core.")
    private int routers;

    @Option(
            names = "--rate",
            defaultValue = "300",
            description = "Questions a second of the active clients.")
    private int rate;

    @Option(
            names = "--seconds",
            defaultValue = "10",
            description = "Of each round (default: ${DEFAULT-VALUE}).")
    private double seconds;

    @Option(
            names = "--wake-ms",
            defaultValue = "20000",
            description =
                    "At the end all wake and wait so long for their answers; 0: they sleep on.")
    private long wakeMs;

    @Option(
            names = "--slow-readers",
            defaultValue = "0",
            description = "At the end so many read nothing.")
    private int slowReaders;

    @Option(names = "--core", defaultValue = "0", description = "The routers' core; -1: any.")
    private int core;

    @Option(names = "--heap-mb", defaultValue = "512", description = "Of each router's JVM.")
    private int heapMb;

    @Option(names = "--config", paramLabel = "FILE", description = "HCL for the routers.")
    private Path config;

    @Option(names = "--json", paramLabel = "FILE", description = "Where the figures go as JSON.")
    private Path json;

    @Option(
            names = "--small",
            description = "A few connections for a few seconds: a check that it works.")
    private boolean small;

    @Override
    public Integer call() throws Exception {
        if (jars.isEmpty()) {
            jars.put("now", Path.of("router/target/ironwind-router.jar"));
        }
        IdleBenchmark.Plan plan =
                small
                        ? new IdleBenchmark.Plan(
                                jars, List.of(0, 50), 1, 50, 1, 5_000, 5, -1, 128, config)
                        : new IdleBenchmark.Plan(
                                jars,
                                sizes,
                                routers,
                                rate,
                                seconds,
                                wakeMs,
                                slowReaders,
                                core,
                                heapMb,
                                config);
        JsonArray figures = new IdleBenchmark(plan, System.out).run();
        if (json != null) {
            Files.writeString(json, figures.encodePrettily() + "\n");
        }
        return 0;
    }
}
