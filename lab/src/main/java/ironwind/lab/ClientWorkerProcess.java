package ironwind.lab;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A {@link ClientWorker} in a process of its own. */
final class ClientWorkerProcess implements AutoCloseable {
    private final Process process;
    private final BufferedWriter to;
    private final BufferedReader from;

    ClientWorkerProcess(int number, List<InetSocketAddress> routers) throws IOException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                RouterProcess.java(),
                                "-XX:+UseSerialGC",
                                "-Xmx768m",
                                "-cp",
                                System.getProperty("java.class.path"),
                                ClientWorker.class.getName(),
                                Integer.toString(number)));
        routers.forEach(router -> command.add(Integer.toString(router.getPort())));
        process =
                new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT).start();
        to =
                new BufferedWriter(
                        new OutputStreamWriter(process.getOutputStream(), StandardCharsets.UTF_8));
        from =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    }

    /** Gives an order, without waiting for its answer. */
    void order(String line) throws IOException {
        to.write(line + "\n");
        to.flush();
    }

    /** The answer to an order, as names and numbers. */
    Map<String, Long> answer() throws IOException {
        String line = from.readLine();
        if (line == null) {
            throw new IOException("a crowd has ended");
        }
        Map<String, Long> values = new TreeMap<>();
        for (String word : line.split(" ")) {
            String[] pair = word.split("=");
            values.put(pair[0], Long.parseLong(pair[1]));
        }
        return values;
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
