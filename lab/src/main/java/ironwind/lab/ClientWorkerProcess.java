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

/** A {@link ClientWorker} in a separate process, controlled over its standard input and output. */
final class ClientWorkerProcess implements AutoCloseable {
    private final Process process;
    private final BufferedWriter commands;
    private final BufferedReader replies;

    ClientWorkerProcess(int workerNumber, List<InetSocketAddress> routers) throws IOException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                RouterProcess.javaExecutable(),
                                "-XX:+UseSerialGC",
                                "-Xmx768m",
                                "-cp",
                                System.getProperty("java.class.path"),
                                ClientWorker.class.getName(),
                                Integer.toString(workerNumber)));
        routers.forEach(router -> command.add(Integer.toString(router.getPort())));
        process =
                new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT).start();
        commands =
                new BufferedWriter(
                        new OutputStreamWriter(process.getOutputStream(), StandardCharsets.UTF_8));
        replies =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    }

    /** Sends a command without waiting for the reply. */
    void send(String line) throws IOException {
        commands.write(line + "\n");
        commands.flush();
    }

    /** Returns the reply to the oldest command not yet replied to, as numbers by name. */
    Map<String, Long> readReply() throws IOException {
        String line = replies.readLine();
        if (line == null) {
            throw new IOException("a client worker exited before replying");
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
