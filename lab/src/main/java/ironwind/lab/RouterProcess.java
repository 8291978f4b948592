package ironwind.lab;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A router of some version, in a process of its own on one core, with what the system and the JVM
 * say of it.
 */
final class RouterProcess implements AutoCloseable {
    private static final int TICKS_A_SECOND = 100;
    private static final long READY_MS = 30_000;
    private static final double KILO = 1_024;

    /**
     * The young generation has one size for all, else its size would be taken for that of what is
     * kept.
     */
    private static final int YOUNG_MB = 16;

    private static final int LEAST_HEAP_MB = 32;

    private final Process process;
    final InetSocketAddress address;

    private RouterProcess(Process process, InetSocketAddress address) {
        this.process = process;
        this.address = address;
    }

    /** Starts one; {@code hcl} may be null. Its log goes to a file beside its configuration. */
    static RouterProcess start(
            Path jar, int number, int discovery, Path folder, int core, int heapMb, Path hcl)
            throws IOException, InterruptedException {
        int port = freePort();
        Path config = folder.resolve("router-" + number + ".json");
        Files.writeString(config, config(number, port, discovery, heapMb));
        List<String> command =
                new ArrayList<>(
                        core < 0 ? List.of() : List.of("taskset", "-c", Integer.toString(core)));
        command.addAll(
                List.of(
                        java(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Dio.netty.jfr.enabled=false",
                        "-XX:-UsePerfData",
                        "-Xmx" + heapMb + "m",
                        "-Xms" + LEAST_HEAP_MB + "m",
                        "-Xmn" + YOUNG_MB + "m",
                        "-XX:MinHeapFreeRatio=10",
                        "-XX:MaxHeapFreeRatio=20",
                        "-XX:MaxDirectMemorySize=64m",
                        "-Xss512k",
                        "-jar",
                        jar.toString(),
                        "serve"));
        ProcessBuilder builder =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(folder.resolve("router-" + number + ".log").toFile());
        builder.environment().put("ROUTER_CONFIG", config.toString());
        if (hcl != null) {
            builder.environment().put("IRONWIND_HCL", hcl.toString());
        }
        RouterProcess router =
                new RouterProcess(builder.start(), new InetSocketAddress("127.0.0.1", port));
        router.awaitReady();
        return router;
    }

    static String java() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private static String config(int number, int port, int discovery, int memoryMb) {
        return """
                {"name":"lab%d","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"%x",
                 "limits":{"cores":1.0,"memory_mb":%d,"sockets":100000},
                 "known":{"version":0,"full":true,"servers":[]},
                 "settings":{"period_us":5000,"peers_total":1,"zones":["north"],"kinds":["plain"],"tenants":[],
                  "lanes":[{"name":"read","effect":"retryable","deadline_us":30000000,"goal_time_us":1000000,
                            "worth":2.0}],
                  "extra":{"read_level":["loose"],"when_behind":"off"},
                  "caps":{"cancel":true,"may_probe":true,"parallel_tries":true,"most_tries":4,"retry_after":true,
                          "max_retry_after_us":250000,"connect_timeout_us":1000000,"idle_close_us":300000000},
                  "rules":{"answer_slack_us":20000,"drain_grace_us":500000},"prices":{"probe":0.01}}}
                """
                .formatted(number, port, discovery, number + 1, memoryMb);
    }

    private void awaitReady() throws IOException, InterruptedException {
        long until = System.currentTimeMillis() + READY_MS;
        while (System.currentTimeMillis() < until && process.isAlive()) {
            try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                socket.setSoTimeout((int) READY_MS);
                socket.getOutputStream().write(ironwind.pg.Encoder.startup("client", "core"));
                socket.getOutputStream().write(ironwind.pg.Encoder.query(""));
                byte[] bytes = new byte[1_024];
                String heard = "";
                while (!heard.contains("I")) {
                    int count = socket.getInputStream().read(bytes);
                    if (count < 0) {
                        break;
                    }
                    heard =
                            new String(bytes, 0, count, StandardCharsets.ISO_8859_1)
                                            .contains("I\0\0\0\4")
                                    ? "I"
                                    : "";
                }
                if (!heard.isEmpty()) {
                    return;
                }
            } catch (IOException notYet) {
                Thread.sleep(50);
            }
        }
        throw new IOException("a router did not become ready");
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** CPU seconds used so far. */
    double cpuSeconds() throws IOException {
        String[] fields = Files.readString(proc("stat")).replaceAll(".*\\) ", "").split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / (double) TICKS_A_SECOND;
    }

    /** Resident and, at its highest, in kibibytes. */
    double residentKb() throws IOException {
        return status("VmRSS:");
    }

    double highestKb() throws IOException {
        return status("VmHWM:");
    }

    private double status(String name) throws IOException {
        try (Stream<String> lines = Files.lines(proc("status"))) {
            String line =
                    lines.filter(each -> each.startsWith(name)).findFirst().orElse(name + " 0 kB");
            return Double.parseDouble(line.replaceAll("[^0-9]", ""));
        }
    }

    private Path proc(String file) {
        return Path.of("/proc", Long.toString(process.pid()), file);
    }

    /** Live bytes by class, after a full collection. */
    Map<String, Long> liveBytes() throws IOException, InterruptedException {
        Map<String, Long> bytes = new HashMap<>();
        for (String line : jcmd("GC.class_histogram").split("\n")) {
            String[] words = line.trim().split("\\s+");
            if (words.length >= 4 && words[0].endsWith(":")) {
                bytes.merge(words[3], Long.parseLong(words[2]), Long::sum);
            }
        }
        return bytes;
    }

    /** A full collection, after which the JVM gives back what it does not use. */
    void collect() throws IOException, InterruptedException {
        jcmd("GC.run");
    }

    private String jcmd(String order) throws IOException, InterruptedException {
        File out = File.createTempFile("jcmd", ".txt");
        try {
            Process run =
                    new ProcessBuilder(
                                    Path.of(System.getProperty("java.home"), "bin", "jcmd")
                                            .toString(),
                                    Long.toString(process.pid()),
                                    order)
                            .redirectErrorStream(true)
                            .redirectOutput(out)
                            .start();
            run.waitFor(60, TimeUnit.SECONDS);
            return Files.readString(out.toPath());
        } finally {
            Files.delete(out.toPath());
        }
    }

    static double sum(Map<String, Long> bytes) {
        return bytes.values().stream().mapToLong(Long::longValue).sum() / KILO;
    }

    /** Asks it to end, and tells how long that took; negative where it had to be killed. */
    double end() throws InterruptedException {
        long begun = System.nanoTime();
        process.destroy();
        boolean ended = process.waitFor(60, TimeUnit.SECONDS);
        return ended ? (System.nanoTime() - begun) / 1e9 : -1;
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
