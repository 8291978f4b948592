package ironwind.lab;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import ironwind.lab.LoadGenerator.Round;
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
 * What idle connections cost: routers on one core, crowds that hold connections to them, clients
 * that ask all the time. The same is done to each text of the program, one after another in one
 * run.
 */
public final class IdleBenchmark {
    private static final int HOSTS = 3;
    private static final long WORK_NANOS = 2_000_000;
    private static final int ACTIVE_CONNECTIONS = 60;
    private static final int OF_ONE_CROWD = 17_500;
    private static final int SHOWN_CLASSES = 12;
    private static final double KILO = 1_024;
    private static final Pattern MEMORY = Pattern.compile("mem ([0-9]+)");
    private static final long PAGE_KB = 4;

    private final Plan plan;
    private final PrintStream out;

    /**
     * What is to be done.
     *
     * @param texts jars of the program by name, in their order
     * @param sizes idle connections in all, growing
     * @param perSecond questions of the active clients
     * @param seconds of each round
     * @param wakeMs how long the woken wait for their answers; 0 wakes none
     * @param slowReaders at the end so many ask for 64 KiB again and again, and read nothing
     * @param core the routers' core; negative leaves that to the system
     */
    public record Plan(
            Map<String, Path> texts,
            List<Integer> sizes,
            int routers,
            int perSecond,
            double seconds,
            long wakeMs,
            int slowReaders,
            int core,
            int heapMb,
            Path hcl) {}

    public IdleBenchmark(Plan plan, PrintStream out) {
        this.plan = plan;
        this.out = out;
    }

    /** Figures of every text and size, as they are printed. */
    public JsonArray run() throws IOException, InterruptedException {
        JsonArray all = new JsonArray();
        out.printf(
                "%-8s %8s %9s %9s %9s %7s %8s %8s %8s %7s%n",
                "text",
                "idle",
                "heap KB/c",
                "rss KB/c",
                "kern KB/c",
                "cpu %",
                "p50 ms",
                "p99 ms",
                "p99.9 ms",
                "not ok");
        for (Map.Entry<String, Path> text : plan.texts().entrySet()) {
            play(text.getKey(), text.getValue(), all);
        }
        return all;
    }

    private void play(String name, Path jar, JsonArray all)
            throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("ironwind-idle");
        List<RouterProcess> routers = new ArrayList<>();
        List<ClientWorkerProcess> crowds = new ArrayList<>();
        try (EventLoop loop = new EventLoop("hosts")) {
            List<StandInHost> hosts = new ArrayList<>();
            for (int i = 0; i < HOSTS; i++) {
                hosts.add(new StandInHost(loop, i == 0, WORK_NANOS));
            }
            try (StandInDiscovery discovery = new StandInDiscovery(hosts)) {
                for (int i = 0; i < plan.routers(); i++) {
                    routers.add(
                            RouterProcess.start(
                                    jar,
                                    i,
                                    discovery.port(),
                                    folder,
                                    plan.core(),
                                    plan.heapMb(),
                                    plan.hcl()));
                }
                List<InetSocketAddress> addresses =
                        routers.stream().map(router -> router.address).toList();
                try (LoadGenerator active =
                        new LoadGenerator(addresses, ACTIVE_CONNECTIONS, plan.perSecond())) {
                    active.play(Math.max(2, plan.seconds() / 2));
                    sizes(name, routers, crowds, addresses, active, all);
                    if (plan.wakeMs() > 0) {
                        wake(name, routers, crowds, all);
                    }
                    if (plan.slowReaders() > 0) {
                        slowReaders(name, routers, addresses, crowds, active, all);
                    }
                }
                double slowest = 0;
                for (RouterProcess router : routers) {
                    double took = router.end();
                    slowest = took < 0 || slowest < 0 ? -1 : Math.max(slowest, took);
                }
                out.printf(
                        "%-8s all asked to end: the last was gone after %.2f s%n", name, slowest);
                all.add(
                        new JsonObject()
                                .put("text", name)
                                .put("what", "end")
                                .put("seconds", slowest));
            }
        } finally {
            crowds.forEach(ClientWorkerProcess::close);
            routers.forEach(RouterProcess::close);
        }
    }

    private record Point(
            double liveKb, double residentKb, double kernelKb, Map<String, Long> classes) {}

    private void sizes(
            String name,
            List<RouterProcess> routers,
            List<ClientWorkerProcess> crowds,
            List<InetSocketAddress> addresses,
            LoadGenerator active,
            JsonArray all)
            throws IOException, InterruptedException {
        Point empty = null;
        int held = 0;
        for (int size : plan.sizes()) {
            open(size - held, crowds, addresses);
            held = size;
            Thread.sleep(1_000);
            Point point = point(routers);
            double cpuBefore = cpu(routers);
            long begun = System.nanoTime();
            Thread.sleep((long) (1_000 * plan.seconds()));
            double cpu = 100 * (cpu(routers) - cpuBefore) / ((System.nanoTime() - begun) / 1e9);
            Round round = active.play(plan.seconds());
            empty = empty == null ? point : empty;
            long open = count(crowds);
            int more = Math.max(1, size - plan.sizes().get(0));
            JsonObject figures =
                    new JsonObject()
                            .put("text", name)
                            .put("what", "idle")
                            .put("idle", size)
                            .put("still_open", open)
                            .put("live_kb_each", (point.liveKb - empty.liveKb) / more)
                            .put("resident_kb_each", (point.residentKb - empty.residentKb) / more)
                            .put("kernel_kb_each", (point.kernelKb - empty.kernelKb) / more)
                            .put("resident_kb", point.residentKb)
                            .put("live_kb", point.liveKb)
                            .put("cpu_percent", cpu);
            put(figures, round);
            all.add(figures);
            out.printf(
                    "%-8s %8d %9.2f %9.2f %9.2f %7.2f %8.2f %8.2f %8.2f %7d%s%n",
                    name,
                    size,
                    figures.getDouble("live_kb_each"),
                    figures.getDouble("resident_kb_each"),
                    figures.getDouble("kernel_kb_each"),
                    cpu,
                    millis(round, 50),
                    millis(round, 99),
                    millis(round, 99.9),
                    notOk(round),
                    open < size ? "  still open: " + open : "");
            if (size == plan.sizes().get(plan.sizes().size() - 1) && held > 0) {
                classes(name, empty, point, more, all);
            }
        }
    }

    private void classes(String name, Point empty, Point point, int more, JsonArray all) {
        Map<String, Double> each = new TreeMap<>();
        point.classes.forEach(
                (type, bytes) ->
                        each.put(
                                type,
                                (bytes - empty.classes.getOrDefault(type, 0L)) / (double) more));
        JsonObject found = new JsonObject();
        each.entrySet().stream()
                .sorted(Map.Entry.<String, Double>comparingByValue().reversed())
                .limit(SHOWN_CLASSES)
                .forEach(
                        entry -> {
                            out.printf(
                                    "%-8s   %7.1f bytes each  %s%n",
                                    name, entry.getValue(), entry.getKey());
                            found.put(entry.getKey(), entry.getValue());
                        });
        all.add(new JsonObject().put("text", name).put("what", "classes").put("bytes_each", found));
    }

    private void open(int more, List<ClientWorkerProcess> crowds, List<InetSocketAddress> addresses)
            throws IOException {
        // One crowd at a time, so that each stays under what one process may hold.
        int left = more;
        while (left > 0) {
            int room = crowds.isEmpty() ? 0 : OF_ONE_CROWD - inLast;
            if (room == 0) {
                crowds.add(new ClientWorkerProcess(crowds.size(), addresses));
                inLast = 0;
                room = OF_ONE_CROWD;
            }
            int now = Math.min(room, left);
            ClientWorkerProcess crowd = crowds.get(crowds.size() - 1);
            crowd.order("open " + now);
            Map<String, Long> answer = crowd.answer();
            out.printf(
                    "opened %d, each asked once, in %d ms%s%n",
                    now, answer.get("ms"), answer.get("OK") < now ? " with losses: " + answer : "");
            inLast += now;
            left -= now;
        }
    }

    private int inLast;

    private long count(List<ClientWorkerProcess> crowds) throws IOException {
        long open = 0;
        for (ClientWorkerProcess crowd : crowds) {
            crowd.order("count");
            open += crowd.answer().get("open");
        }
        return open;
    }

    private Point point(List<RouterProcess> routers) throws IOException, InterruptedException {
        Map<String, Long> classes = new HashMap<>();
        double resident = 0;
        for (RouterProcess router : routers) {
            router.collect();
            router.liveBytes().forEach((type, bytes) -> classes.merge(type, bytes, Long::sum));
            router.collect();
            resident += router.residentKb();
        }
        return new Point(RouterProcess.sum(classes), resident, kernelKb(), classes);
    }

    /**
     * Of both ends of all TCP connections of this machine: pages of their buffers, as the system
     * counts them.
     */
    private static double kernelKb() throws IOException {
        Optional<String> line =
                Files.readAllLines(Path.of("/proc/net/sockstat")).stream()
                        .filter(each -> each.startsWith("TCP:"))
                        .findFirst();
        Matcher matcher = MEMORY.matcher(line.orElse(""));
        return matcher.find() ? PAGE_KB * Double.parseDouble(matcher.group(1)) : 0;
    }

    private static double cpu(List<RouterProcess> routers) throws IOException {
        double sum = 0;
        for (RouterProcess router : routers) {
            sum += router.cpuSeconds();
        }
        return sum;
    }

    private void wake(
            String name,
            List<RouterProcess> routers,
            List<ClientWorkerProcess> crowds,
            JsonArray all)
            throws IOException {
        for (ClientWorkerProcess crowd : crowds) {
            crowd.order("wake " + plan.wakeMs());
        }
        Map<String, Long> sum = new TreeMap<>();
        for (ClientWorkerProcess crowd : crowds) {
            crowd.answer()
                    .forEach(
                            (key, value) ->
                                    sum.merge(
                                            key,
                                            value,
                                            key.endsWith("ms") ? Math::max : Long::sum));
        }
        double highest = 0;
        for (RouterProcess router : routers) {
            highest = Math.max(highest, router.highestKb() / KILO);
        }
        out.printf(
                "%-8s all woke: %s, a router's highest resident size %.0f MB, routers alive %d of %d%n",
                name,
                sum,
                highest,
                routers.stream().filter(RouterProcess::isAlive).count(),
                routers.size());
        JsonObject figures =
                new JsonObject().put("text", name).put("what", "wake").put("highest_mb", highest);
        sum.forEach(figures::put);
        all.add(figures);
    }

    private void slowReaders(
            String name,
            List<RouterProcess> routers,
            List<InetSocketAddress> addresses,
            List<ClientWorkerProcess> crowds,
            LoadGenerator active,
            JsonArray all)
            throws IOException, InterruptedException {
        Round before = active.play(plan.seconds());
        ClientWorkerProcess slow = new ClientWorkerProcess(100, addresses);
        crowds.add(slow);
        slow.order("slow " + plan.slowReaders() + " 65536");
        slow.answer();
        Round with = active.play(plan.seconds());
        // By now they have all asked, and only wait: theirs is the standing cost.
        Round after = active.play(plan.seconds());
        double highest = 0;
        for (RouterProcess router : routers) {
            highest = Math.max(highest, router.highestKb() / KILO);
        }
        out.printf(
                "%-8s %d slow readers: p99 %.2f ms before, %.2f while they ask, %.2f then; not ok %d, %d, %d; highest"
                        + " resident size %.0f MB%n",
                name,
                plan.slowReaders(),
                millis(before, 99),
                millis(with, 99),
                millis(after, 99),
                notOk(before),
                notOk(with),
                notOk(after),
                highest);
        JsonObject figures =
                new JsonObject()
                        .put("text", name)
                        .put("what", "slow_readers")
                        .put("readers", plan.slowReaders())
                        .put("p99_ms_before", millis(before, 99))
                        .put("p99_ms_asking", millis(with, 99))
                        .put("not_ok_asking", notOk(with))
                        .put("highest_mb", highest);
        put(figures, after);
        all.add(figures);
    }

    private static void put(JsonObject figures, Round round) {
        figures.put("p50_ms", millis(round, 50))
                .put("p99_ms", millis(round, 99))
                .put("p999_ms", millis(round, 99.9))
                .put("answers", round.micros.getTotalCount())
                .put("not_ok", notOk(round));
    }

    private static double millis(Round round, double percentile) {
        return round.micros.getValueAtPercentile(percentile) / 1_000.0;
    }

    private static int notOk(Round round) {
        int sum = round.noneFree;
        for (Map.Entry<AsyncClient.Answer, Integer> entry : round.answers.entrySet()) {
            sum += entry.getKey() == AsyncClient.Answer.OK ? 0 : entry.getValue();
        }
        return sum;
    }
}
