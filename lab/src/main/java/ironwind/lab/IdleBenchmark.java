package ironwind.lab;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import ironwind.lab.LoadGenerator.Result;
import ironwind.standin.EventLoop;
import ironwind.standin.StandInDiscovery;
import ironwind.standin.StandInHost;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Measures what idle connections cost: routers on one core, client workers that hold connections to
 * them, and a constant load of requests from other clients. Each router jar is measured in the same
 * way, one after another in one run.
 */
public final class IdleBenchmark {
    private static final int HOST_COUNT = 3;
    private static final long HOST_RESPONSE_NANOS = 2_000_000;
    private static final int LOAD_CONNECTIONS = 60;

    /** Keeps each client worker below the number of connections that one process may hold. */
    private static final int CONNECTIONS_PER_WORKER = 17_500;

    private static final int REPORTED_CLASSES = 12;
    private static final double KIB_PER_MIB = 1_024;
    private static final Pattern SOCKSTAT_MEMORY = Pattern.compile("mem ([0-9]+)");
    private static final long PAGE_KIB = 4;

    private final Plan plan;
    private final PrintStream out;

    /** Connections that the last worker was told to open. */
    private int connectionsOfLastWorker;

    /**
     * What to measure, and how.
     *
     * @param jars router jars by name, measured in iteration order
     * @param connectionCounts total numbers of idle connections, ascending
     * @param routers number of routers that share the core
     * @param requestsPerSecond rate of the constant load
     * @param secondsPerRun duration of each measurement
     * @param wakeDeadlineMs deadline of the requests that all idle clients send at the same time; 0
     *     sends none
     * @param slowReaders number of clients that at the end pipeline requests for 64 KiB values and
     *     never read the responses; 0 for none
     * @param core CPU that the routers are pinned to; negative for none
     * @param heapMb maximum heap size and configured memory limit of each router, in MiB
     * @param hclFile file of the routers' operator settings; may be null
     */
    public record Plan(
            Map<String, Path> jars,
            List<Integer> connectionCounts,
            int routers,
            int requestsPerSecond,
            double secondsPerRun,
            long wakeDeadlineMs,
            int slowReaders,
            int core,
            int heapMb,
            Path hclFile) {}

    /** Creates a benchmark that prints its progress and results to {@code out}. */
    public IdleBenchmark(Plan plan, PrintStream out) {
        this.plan = plan;
        this.out = out;
    }

    /** Runs the benchmark and returns its figures, one object per measurement. */
    public JsonArray run() throws IOException, InterruptedException {
        JsonArray results = new JsonArray();
        out.printf(
                "%-8s %8s %9s %9s %9s %7s %8s %8s %8s %7s%n",
                "version",
                "idle",
                "heap KB/c",
                "rss KB/c",
                "kern KB/c",
                "cpu %",
                "p50 ms",
                "p99 ms",
                "p99.9 ms",
                "not ok");
        for (Map.Entry<String, Path> jar : plan.jars().entrySet()) {
            benchmark(jar.getKey(), jar.getValue(), results);
        }
        return results;
    }

    private void benchmark(String name, Path jar, JsonArray results)
            throws IOException, InterruptedException {
        Path directory = Files.createTempDirectory("ironwind-idle");
        List<RouterProcess> routers = new ArrayList<>();
        List<ClientWorkerProcess> workers = new ArrayList<>();
        try (EventLoop hostLoop = new EventLoop("hosts")) {
            List<StandInHost> hosts = new ArrayList<>();
            for (int i = 0; i < HOST_COUNT; i++) {
                hosts.add(new StandInHost(hostLoop, i == 0, HOST_RESPONSE_NANOS));
            }
            try (StandInDiscovery discovery = new StandInDiscovery(hosts)) {
                for (int i = 0; i < plan.routers(); i++) {
                    routers.add(
                            RouterProcess.start(
                                    jar,
                                    i,
                                    discovery.port(),
                                    directory,
                                    plan.core(),
                                    plan.heapMb(),
                                    plan.hclFile()));
                }
                List<InetSocketAddress> addresses =
                        routers.stream().map(router -> router.address).toList();
                try (LoadGenerator load =
                        new LoadGenerator(addresses, LOAD_CONNECTIONS, plan.requestsPerSecond())) {
                    load.run(Math.max(2, plan.secondsPerRun() / 2));
                    measureIdleConnections(name, routers, workers, addresses, load, results);
                    if (plan.wakeDeadlineMs() > 0) {
                        measureBurst(name, routers, workers, results);
                    }
                    if (plan.slowReaders() > 0) {
                        measureSlowReaders(name, routers, addresses, workers, load, results);
                    }
                }
                double maxSeconds = 0;
                for (RouterProcess router : routers) {
                    double seconds = router.terminate();
                    maxSeconds = seconds < 0 || maxSeconds < 0 ? -1 : Math.max(maxSeconds, seconds);
                }
                out.printf(
                        "%-8s all routers sent SIGTERM: the last exited after %.2f s%n",
                        name, maxSeconds);
                results.add(
                        new JsonObject()
                                .put("text", name)
                                .put("what", "end")
                                .put("seconds", maxSeconds));
            }
        } finally {
            workers.forEach(ClientWorkerProcess::close);
            routers.forEach(RouterProcess::close);
        }
    }

    private record Snapshot(
            double liveKib,
            double residentKib,
            double kernelKib,
            Map<String, Long> liveBytesByClass) {}

    private void measureIdleConnections(
            String name,
            List<RouterProcess> routers,
            List<ClientWorkerProcess> workers,
            List<InetSocketAddress> addresses,
            LoadGenerator load,
            JsonArray results)
            throws IOException, InterruptedException {
        Snapshot baseline = null;
        int opened = 0;
        for (int connections : plan.connectionCounts()) {
            openConnections(connections - opened, workers, addresses);
            opened = connections;
            Thread.sleep(1_000);
            Snapshot snapshot = takeSnapshot(routers);
            double cpuSecondsBefore = cpuSeconds(routers);
            long startNanos = System.nanoTime();
            Thread.sleep((long) (1_000 * plan.secondsPerRun()));
            double cpuPercent =
                    100
                            * (cpuSeconds(routers) - cpuSecondsBefore)
                            / ((System.nanoTime() - startNanos) / 1e9);
            Result result = load.run(plan.secondsPerRun());
            baseline = baseline == null ? snapshot : baseline;
            long open = countOpen(workers);
            int count = Math.max(1, connections - plan.connectionCounts().get(0));
            JsonObject figures =
                    new JsonObject()
                            .put("text", name)
                            .put("what", "idle")
                            .put("idle", connections)
                            .put("still_open", open)
                            .put("live_kb_each", (snapshot.liveKib - baseline.liveKib) / count)
                            .put(
                                    "resident_kb_each",
                                    (snapshot.residentKib - baseline.residentKib) / count)
                            .put(
                                    "kernel_kb_each",
                                    (snapshot.kernelKib - baseline.kernelKib) / count)
                            .put("resident_kb", snapshot.residentKib)
                            .put("live_kb", snapshot.liveKib)
                            .put("cpu_percent", cpuPercent);
            putLatencies(figures, result);
            results.add(figures);
            out.printf(
                    "%-8s %8d %9.2f %9.2f %9.2f %7.2f %8.2f %8.2f %8.2f %7d%s%n",
                    name,
                    connections,
                    figures.getDouble("live_kb_each"),
                    figures.getDouble("resident_kb_each"),
                    figures.getDouble("kernel_kb_each"),
                    cpuPercent,
                    percentileMs(result, 50),
                    percentileMs(result, 99),
                    percentileMs(result, 99.9),
                    countNotOk(result),
                    open < connections ? "  still open: " + open : "");
            if (connections == plan.connectionCounts().get(plan.connectionCounts().size() - 1)
                    && opened > 0) {
                reportClasses(name, baseline, snapshot, count, results);
            }
        }
    }

    private void reportClasses(
            String name, Snapshot baseline, Snapshot snapshot, int count, JsonArray results) {
        Map<String, Double> bytesEach = new TreeMap<>();
        snapshot.liveBytesByClass.forEach(
                (type, bytes) ->
                        bytesEach.put(
                                type,
                                (bytes - baseline.liveBytesByClass.getOrDefault(type, 0L))
                                        / (double) count));
        JsonObject reported = new JsonObject();
        bytesEach.entrySet().stream()
                .sorted(Map.Entry.<String, Double>comparingByValue().reversed())
                .limit(REPORTED_CLASSES)
                .forEach(
                        entry -> {
                            out.printf(
                                    "%-8s   %7.1f bytes each  %s%n",
                                    name, entry.getValue(), entry.getKey());
                            reported.put(entry.getKey(), entry.getValue());
                        });
        results.add(
                new JsonObject()
                        .put("text", name)
                        .put("what", "classes")
                        .put("bytes_each", reported));
    }

    private void openConnections(
            int count, List<ClientWorkerProcess> workers, List<InetSocketAddress> addresses)
            throws IOException {
        // Fills one worker after another, so that each stays below the limit of one process.
        int remaining = count;
        while (remaining > 0) {
            int free = workers.isEmpty() ? 0 : CONNECTIONS_PER_WORKER - connectionsOfLastWorker;
            if (free == 0) {
                workers.add(new ClientWorkerProcess(workers.size(), addresses));
                connectionsOfLastWorker = 0;
                free = CONNECTIONS_PER_WORKER;
            }
            int batch = Math.min(free, remaining);
            ClientWorkerProcess worker = workers.get(workers.size() - 1);
            worker.send("open " + batch);
            Map<String, Long> reply = worker.readReply();
            out.printf(
                    "opened %d, one request each, in %d ms%s%n",
                    batch,
                    reply.get("ms"),
                    reply.get("OK") < batch ? " with failures: " + reply : "");
            connectionsOfLastWorker += batch;
            remaining -= batch;
        }
    }

    private long countOpen(List<ClientWorkerProcess> workers) throws IOException {
        long open = 0;
        for (ClientWorkerProcess worker : workers) {
            worker.send("count");
            open += worker.readReply().get("open");
        }
        return open;
    }

    private Snapshot takeSnapshot(List<RouterProcess> routers)
            throws IOException, InterruptedException {
        Map<String, Long> liveBytesByClass = new HashMap<>();
        double residentKib = 0;
        for (RouterProcess router : routers) {
            router.collectGarbage();
            router.liveBytesByClass()
                    .forEach((type, bytes) -> liveBytesByClass.merge(type, bytes, Long::sum));
            router.collectGarbage();
            residentKib += router.residentKib();
        }
        return new Snapshot(
                RouterProcess.totalKib(liveBytesByClass),
                residentKib,
                kernelBuffersKib(),
                liveBytesByClass);
    }

    /**
     * Returns the memory of the kernel's TCP buffers, as counted in pages in {@code
     * /proc/net/sockstat}: both ends of all connections of this machine.
     */
    private static double kernelBuffersKib() throws IOException {
        Optional<String> line =
                Files.readAllLines(Path.of("/proc/net/sockstat")).stream()
                        .filter(entry -> entry.startsWith("TCP:"))
                        .findFirst();
        Matcher matcher = SOCKSTAT_MEMORY.matcher(line.orElse(""));
        return matcher.find() ? PAGE_KIB * Double.parseDouble(matcher.group(1)) : 0;
    }

    private static double cpuSeconds(List<RouterProcess> routers) throws IOException {
        double total = 0;
        for (RouterProcess router : routers) {
            total += router.cpuSeconds();
        }
        return total;
    }

    private void measureBurst(
            String name,
            List<RouterProcess> routers,
            List<ClientWorkerProcess> workers,
            JsonArray results)
            throws IOException {
        for (ClientWorkerProcess worker : workers) {
            worker.send("wake " + plan.wakeDeadlineMs());
        }
        Map<String, Long> total = new TreeMap<>();
        for (ClientWorkerProcess worker : workers) {
            worker.readReply()
                    .forEach(
                            (key, value) ->
                                    total.merge(
                                            key,
                                            value,
                                            key.endsWith("ms") ? Math::max : Long::sum));
        }
        double peakMib = 0;
        for (RouterProcess router : routers) {
            peakMib = Math.max(peakMib, router.peakResidentKib() / KIB_PER_MIB);
        }
        out.printf(
                "%-8s all sent at once: %s, peak resident size of a router %.0f MB, routers alive %d of %d%n",
                name,
                total,
                peakMib,
                routers.stream().filter(RouterProcess::isAlive).count(),
                routers.size());
        JsonObject figures =
                new JsonObject().put("text", name).put("what", "wake").put("highest_mb", peakMib);
        total.forEach(figures::put);
        results.add(figures);
    }

    private void measureSlowReaders(
            String name,
            List<RouterProcess> routers,
            List<InetSocketAddress> addresses,
            List<ClientWorkerProcess> workers,
            LoadGenerator load,
            JsonArray results)
            throws IOException, InterruptedException {
        Result before = load.run(plan.secondsPerRun());
        ClientWorkerProcess slowWorker = new ClientWorkerProcess(100, addresses);
        workers.add(slowWorker);
        slowWorker.send("slow " + plan.slowReaders() + " 65536");
        slowWorker.readReply();
        Result during = load.run(plan.secondsPerRun());
        // Measures the steady state after the slow readers have sent their requests. The run above
        // is long enough for this if their number divided by its seconds is at most
        // ClientWorker.SLOW_READERS_PER_SECOND.
        Result after = load.run(plan.secondsPerRun());
        double peakMib = 0;
        for (RouterProcess router : routers) {
            peakMib = Math.max(peakMib, router.peakResidentKib() / KIB_PER_MIB);
        }
        out.printf(
                "%-8s %d slow readers: p99 %.2f ms before, %.2f while they send, %.2f afterwards;"
                        + " not ok %d, %d, %d; peak resident size %.0f MB%n",
                name,
                plan.slowReaders(),
                percentileMs(before, 99),
                percentileMs(during, 99),
                percentileMs(after, 99),
                countNotOk(before),
                countNotOk(during),
                countNotOk(after),
                peakMib);
        JsonObject figures =
                new JsonObject()
                        .put("text", name)
                        .put("what", "slow_readers")
                        .put("readers", plan.slowReaders())
                        .put("p99_ms_before", percentileMs(before, 99))
                        .put("p99_ms_asking", percentileMs(during, 99))
                        .put("not_ok_asking", countNotOk(during))
                        .put("highest_mb", peakMib);
        putLatencies(figures, after);
        results.add(figures);
    }

    private static void putLatencies(JsonObject figures, Result result) {
        figures.put("p50_ms", percentileMs(result, 50))
                .put("p99_ms", percentileMs(result, 99))
                .put("p999_ms", percentileMs(result, 99.9))
                .put("answers", result.latencyMicros.getTotalCount())
                .put("not_ok", countNotOk(result));
    }

    private static double percentileMs(Result result, double percentile) {
        return result.latencyMicros.getValueAtPercentile(percentile) / 1_000.0;
    }

    private static int countNotOk(Result result) {
        int total = result.notSent;
        for (Map.Entry<AsyncClient.Outcome, Integer> entry : result.outcomes.entrySet()) {
            total += entry.getKey() == AsyncClient.Outcome.OK ? 0 : entry.getValue();
        }
        return total;
    }
}
