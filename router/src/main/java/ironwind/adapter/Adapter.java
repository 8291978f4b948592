package ironwind.adapter;

import ironwind.config.DeploymentReader;
import ironwind.model.Deployment;
import ironwind.model.Host;
import ironwind.model.HostEntry;
import ironwind.model.Moment;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Speaks the simulator's protocol on a pair of streams: reads batches of events, answers each with
 * one batch of decisions, and runs any number of independent router instances.
 */
public final class Adapter {
    private static final int BUFFER_BYTES = 1 << 16;

    private final InputStream in;
    private final OutputStream out;
    private final StringBuilder reply = new StringBuilder();
    private final Map<Integer, SimulatedRouter> routers = new HashMap<>();
    private final Map<Integer, List<HostEntry>> hostLists = new HashMap<>();

    /** Routers with an event in the current batch, in the order of their first events. */
    private final List<SimulatedRouter> batchRouters = new ArrayList<>();

    private byte[] lineBuffer = new byte[256];
    private long lineNumber;

    /**
     * Creates an adapter.
     *
     * @param in lines of the simulator
     * @param out lines to the simulator, flushed after each batch
     */
    public Adapter(InputStream in, OutputStream out) {
        this.in = new BufferedInputStream(in, BUFFER_BYTES);
        this.out = out;
    }

    /**
     * Runs until the input ends.
     *
     * @param errors receives a message if a line is malformed
     * @return the exit code: 0, or 1 if a line is malformed
     * @throws IOException if reading or writing fails
     */
    public int run(Appendable errors) throws IOException {
        try {
            for (Line line = nextLine(); line != null; line = nextLine()) {
                processBatch(line);
            }
            return 0;
        } catch (MalformedLineException e) {
            errors.append("ironwind: ").append(e.getMessage()).append(System.lineSeparator());
            return 1;
        }
    }

    private void processBatch(Line frame) throws IOException {
        if (!frame.name().equals("FRAME")) {
            throw frame.error("name", "should be FRAME, not " + frame.name());
        }
        Moment now = new Moment(frame.requireLong("clock_us"));
        while (true) {
            Line line = nextLine();
            if (line == null) {
                throw new MalformedLineException(
                        lineNumber,
                        "",
                        "OVER_TO_YOU",
                        "is missing: the input ended inside a batch");
            }
            if (line.name().equals("OVER_TO_YOU")) {
                break;
            }
            handle(now, line);
        }
        for (SimulatedRouter router : batchRouters) {
            router.onBatchEnd(now);
        }
        batchRouters.clear();
        reply.append("NEXT\n");
        out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
        reply.setLength(0);
    }

    private void handle(Moment now, Line line) throws IOException {
        switch (line.name()) {
            case "DEFINE_LIST" -> defineHostList(line);
            case "SPAWN" -> {
                int number = line.requireInt("router");
                batchRouters.remove(routers.remove(number));
                Deployment deployment = DeploymentReader.read(line);
                routers.put(
                        number,
                        new SimulatedRouter(
                                number, line.requireLong("entropy"), deployment, reply));
                addToBatch(line);
            }
            case "DOWN" -> batchRouters.remove(routers.remove(line.requireInt("router")));
            case "ROSTER_CHANGE" -> addToBatch(line).onHostList(now, line, hostLists);
            case "CALL" -> addToBatch(line).onRpcArrived(now, line);
            case "VERDICT" -> addToBatch(line).onCallOutEnded(now, line);
            case "PING_RESULT" -> addToBatch(line).onProbeEnded(now, line);
            case "CLIENT_LEFT" -> addToBatch(line).onClientLeft(now, line);
            case "RING" -> {
                line.requireInt("name");
                addToBatch(line);
            }
            case "MEMO" -> {
                line.requireInt("neighbour");
                line.checkBase64("bytes");
                addToBatch(line);
            }
            case "BEGUN" -> {
                line.requireString("txn");
                addToBatch(line);
            }
            default -> throw line.error("name", "is not a known message: " + line.name());
        }
    }

    /** Finds the router that a line addresses and includes it in the current batch. */
    private SimulatedRouter addToBatch(Line line) {
        SimulatedRouter router = routers.get(line.requireInt("router"));
        if (router == null) {
            throw line.error("router", "is not a running router: " + line.getString("router"));
        }
        if (!batchRouters.contains(router)) {
            batchRouters.add(router);
        }
        return router;
    }

    private void defineHostList(Line head) throws IOException {
        int ref = head.requireInt("ref");
        int count = head.requireInt("elements");
        List<HostEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Line item = nextLine();
            if (item == null || !item.name().equals("ITEM")) {
                throw new MalformedLineException(
                        lineNumber,
                        "DEFINE_LIST",
                        "elements",
                        "announces " + count + " ITEM lines, but " + i + " followed");
            }
            entries.add(parseEntry(item));
        }
        hostLists.put(ref, List.copyOf(entries));
    }

    private static HostEntry parseEntry(Line item) {
        int health = item.getInt("health", 0);
        Host.DiscoveryState discoveryState =
                switch (health) {
                    case 0 -> Host.DiscoveryState.READY;
                    case 1 -> Host.DiscoveryState.DRAINING;
                    case 2 -> Host.DiscoveryState.GONE;
                    default -> throw item.error("health", "has an unknown value: " + health);
                };
        long onlineSinceUs = item.getLong("online_since_us", 0);
        return new HostEntry(
                item.requireString("host"),
                item.getInt("zone", 0),
                item.getInt("type", 0),
                item.getInt("shard", 0),
                discoveryState,
                item.getDouble("power_hint", 1),
                onlineSinceUs == 0 ? Moment.NEVER : new Moment(onlineSinceUs),
                item.getDouble("leads", 0) >= 1);
    }

    /** Returns the next line that is not empty, or null at the end of the input. */
    private Line nextLine() throws IOException {
        while (true) {
            int length = 0;
            int read = in.read();
            if (read < 0) {
                return null;
            }
            while (read >= 0 && read != '\n') {
                if (length == lineBuffer.length) {
                    lineBuffer = Arrays.copyOf(lineBuffer, 2 * length);
                }
                lineBuffer[length++] = (byte) read;
                read = in.read();
            }
            lineNumber++;
            if (length > 0 && lineBuffer[length - 1] == '\r') {
                length--;
            }
            if (length > 0) {
                return new Line(
                        new String(lineBuffer, 0, length, StandardCharsets.UTF_8), lineNumber);
            }
        }
    }
}
