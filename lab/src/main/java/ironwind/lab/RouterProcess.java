package ironwind.lab;

import ironwind.pg.Encoder;
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
 * A router started from a given jar in a separate process, optionally pinned to one core, with
 * resource figures read from {@code /proc} and {@code jcmd}.
 */
final class RouterProcess implements AutoCloseable {
    private static final int TICKS_PER_SECOND = 100;
    private static final long READY_TIMEOUT_MS = 30_000;
    private static final double BYTES_PER_KIB = 1_024;

    /**
     * The young generation has a fixed size; otherwise its growth would be counted as memory
     * retained by connections.
     */
    private static final int YOUNG_GENERATION_MB = 16;

    private static final int INITIAL_HEAP_MB = 32;

    private final Process process;
    final InetSocketAddress address;

    private RouterProcess(Process process, InetSocketAddress address) {
        this.process = process;
        this.address = address;
    }

    /**
     * Starts a router and waits until it is ready. Its configuration and log are written to {@code
     * directory}.
     *
     * @param number distinguishes the routers of one run
     * @param core CPU to pin the router to; negative for none
     * @param hclFile file of the operator settings; may be null
     */
    static RouterProcess start(
            Path jar,
            int number,
            int discoveryPort,
            Path directory,
            int core,
            int heapMb,
            Path hclFile)
            throws IOException, InterruptedException {
        int port = freePort();
        Path configFile = directory.resolve("router-" + number + ".json");
        Files.writeString(configFile, routerConfigJson(number, port, discoveryPort, heapMb));
        List<String> command =
                new ArrayList<>(
                        core < 0 ? List.of() : List.of("taskset", "-c", Integer.toString(core)));
        command.addAll(
                List.of(
                        javaExecutable(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Dio.netty.jfr.enabled=false",
                        "-XX:-UsePerfData",
                        "-Xmx" + heapMb + "m",
                        "-Xms" + INITIAL_HEAP_MB + "m",
                        "-Xmn" + YOUNG_GENERATION_MB + "m",
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
                        .redirectOutput(directory.resolve("router-" + number + ".log").toFile());
        builder.environment().put("ROUTER_CONFIG", configFile.toString());
        if (hclFile != null) {
            builder.environment().put("IRONWIND_HCL", hclFile.toString());
        }
        RouterProcess router =
                new RouterProcess(builder.start(), new InetSocketAddress("127.0.0.1", port));
        router.awaitReady();
        return router;
    }

    static String javaExecutable() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private static String routerConfigJson(int number, int port, int discoveryPort, int memoryMb) {
        return """
                {"name":"lab%d","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"%x",
                 "limits":{"cores":1.0,"memory_mb":%d,"sockets":100000},
                 "known":{"version":0,"full":true,"servers":[]},
                 "settings":{"period_us":5000,"peers_total":1,"zones":["north"],"kinds":["plain"],
                  "tenants":[],
                  "lanes":[{"name":"read","effect":"retryable","deadline_us":30000000,"goal_time_us":1000000,
                            "worth":2.0}],
                  "extra":{"read_level":["loose"],"when_behind":"off"},
                  "caps":{"cancel":true,"may_probe":true,"parallel_tries":true,"most_tries":4,
                          "retry_after":true,"max_retry_after_us":250000,"connect_timeout_us":1000000,
                          "idle_close_us":300000000},
                  "rules":{"answer_slack_us":20000,"drain_grace_us":500000},"prices":{"probe":0.01}}}
                """
                .formatted(number, port, discoveryPort, number + 1, memoryMb);
    }

    private void awaitReady() throws IOException, InterruptedException {
        long deadline = System.currentTimeMillis() + READY_TIMEOUT_MS;
        while (System.currentTimeMillis() < deadline && process.isAlive()) {
            try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                socket.setSoTimeout((int) READY_TIMEOUT_MS);
                socket.getOutputStream().write(Encoder.startupMessage("client", "core"));
                socket.getOutputStream().write(Encoder.queryMessage(""));
                byte[] bytes = new byte[1_024];
                String response = "";
                while (!response.contains("I")) {
                    int length = socket.getInputStream().read(bytes);
                    if (length < 0) {
                        break;
                    }
                    response =
                            new String(bytes, 0, length, StandardCharsets.ISO_8859_1)
                                            .contains("I\0\0\0\4")
                                    ? "I"
                                    : "";
                }
                if (!response.isEmpty()) {
                    return;
                }
            } catch (IOException notReady) {
                Thread.sleep(50);
            }
        }
        throw new IOException(
                "the router at "
                        + address
                        + " exited or was not ready within "
                        + READY_TIMEOUT_MS
                        + " ms");
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the user and system CPU seconds used so far. */
    double cpuSeconds() throws IOException {
        String[] fields = Files.readString(procFile("stat")).replaceAll(".*\\) ", "").split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12]))
                / (double) TICKS_PER_SECOND;
    }

    /** Returns the resident set size in KiB. */
    double residentKib() throws IOException {
        return statusKib("VmRSS:");
    }

    /** Returns the highest resident set size so far in KiB. */
    double peakResidentKib() throws IOException {
        return statusKib("VmHWM:");
    }

    private double statusKib(String field) throws IOException {
        try (Stream<String> lines = Files.lines(procFile("status"))) {
            String line =
                    lines.filter(candidate -> candidate.startsWith(field))
                            .findFirst()
                            .orElse(field + " 0 kB");
            return Double.parseDouble(line.replaceAll("[^0-9]", ""));
        }
    }

    private Path procFile(String file) {
        return Path.of("/proc", Long.toString(process.pid()), file);
    }

    /** Returns the bytes of live objects by class name, after a full collection. */
    Map<String, Long> liveBytesByClass() throws IOException, InterruptedException {
        Map<String, Long> bytes = new HashMap<>();
        for (String line : jcmd("GC.class_histogram").split("\n")) {
            String[] words = line.trim().split("\\s+");
            if (words.length >= 4 && words[0].endsWith(":")) {
                bytes.merge(words[3], Long.parseLong(words[2]), Long::sum);
            }
        }
        return bytes;
    }

    /** Runs a full collection, after which the JVM returns unused memory to the system. */
    void collectGarbage() throws IOException, InterruptedException {
        jcmd("GC.run");
    }

    private String jcmd(String command) throws IOException, InterruptedException {
        File output = File.createTempFile("jcmd", ".txt");
        try {
            Process jcmd =
                    new ProcessBuilder(
                                    Path.of(System.getProperty("java.home"), "bin", "jcmd")
                                            .toString(),
                                    Long.toString(process.pid()),
                                    command)
                            .redirectErrorStream(true)
                            .redirectOutput(output)
                            .start();
            jcmd.waitFor(60, TimeUnit.SECONDS);
            return Files.readString(output.toPath());
        } finally {
            Files.delete(output.toPath());
        }
    }

    static double totalKib(Map<String, Long> bytesByClass) {
        return bytesByClass.values().stream().mapToLong(Long::longValue).sum() / BYTES_PER_KIB;
    }

    /** Stops the process where it is, until {@link #resume}. */
    void pause() throws IOException, InterruptedException {
        signal("STOP");
    }

    /** Lets a stopped process continue. */
    void resume() throws IOException, InterruptedException {
        signal("CONT");
    }

    private void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Sends SIGTERM and returns the seconds until exit; -1 if it did not exit within 60 s. */
    double terminate() throws InterruptedException {
        long startNanos = System.nanoTime();
        process.destroy();
        boolean exited = process.waitFor(60, TimeUnit.SECONDS);
        return exited ? (System.nanoTime() - startNanos) / 1e9 : -1;
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
