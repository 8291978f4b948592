package ironwind.adapter;

import ironwind.config.DeploymentReader;
import ironwind.model.Deployment;
import ironwind.model.Host;
import ironwind.model.Moment;
import ironwind.model.RosterEntry;
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

/** Plays the wire on two streams: one reply a batch, many instances that share nothing. */
public final class Adapter {
    private static final int CHUNK = 1 << 16;

    private final InputStream in;
    private final OutputStream out;
    private final StringBuilder reply = new StringBuilder();
    private final Map<Integer, SimulatedRouter> doors = new HashMap<>();
    private final Map<Integer, List<RosterEntry>> lists = new HashMap<>();
    private final List<SimulatedRouter> touched = new ArrayList<>();
    private byte[] buffer = new byte[256];
    private long lineNumber;

    public Adapter(InputStream in, OutputStream out) {
        this.in = new BufferedInputStream(in, CHUNK);
        this.out = out;
    }

    /**
     * Runs until the input ends. Returns the process's exit code; says on {@code errors} what was
     * malformed.
     */
    public int run(Appendable errors) throws IOException {
        try {
            for (Line line = next(); line != null; line = next()) {
                batch(line);
            }
            return 0;
        } catch (MalformedLineException e) {
            errors.append("ironwind: ").append(e.getMessage()).append(System.lineSeparator());
            return 1;
        }
    }

    private void batch(Line frame) throws IOException {
        if (!frame.name().equals("FRAME")) {
            throw frame.fault("name", "should be FRAME, not " + frame.name());
        }
        Moment now = new Moment(frame.needWhole("clock_us"));
        while (true) {
            Line line = next();
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
            event(now, line);
        }
        for (SimulatedRouter door : touched) {
            door.settle(now);
        }
        touched.clear();
        reply.append("NEXT\n");
        out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
        reply.setLength(0);
    }

    private void event(Moment now, Line line) throws IOException {
        switch (line.name()) {
            case "DEFINE_LIST" -> define(line);
            case "SPAWN" -> {
                int number = line.needSmall("router");
                touched.remove(doors.remove(number));
                Deployment deployment = DeploymentReader.read(line);
                doors.put(
                        number,
                        new SimulatedRouter(number, line.needWhole("entropy"), deployment, reply));
                touch(line);
            }
            case "DOWN" -> touched.remove(doors.remove(line.needSmall("router")));
            case "ROSTER_CHANGE" -> touch(line).listed(now, line, lists);
            case "CALL" -> touch(line).arrived(now, line);
            case "VERDICT" -> touch(line).ended(now, line);
            case "PING_RESULT" -> touch(line).probed(now, line);
            case "CLIENT_LEFT" -> touch(line).left(now, line);
            case "RING" -> {
                line.needSmall("name");
                touch(line);
            }
            case "MEMO" -> {
                line.needSmall("neighbour");
                line.checkBytes("bytes");
                touch(line);
            }
            case "BEGUN" -> {
                line.need("txn");
                touch(line);
            }
            default -> throw line.fault("name", "is no message of this wire: " + line.name());
        }
    }

    private SimulatedRouter touch(Line line) {
        SimulatedRouter door = doors.get(line.needSmall("router"));
        if (door == null) {
            throw line.fault("router", "names no running instance: " + line.text("router"));
        }
        if (!touched.contains(door)) {
            touched.add(door);
        }
        return door;
    }

    private void define(Line head) throws IOException {
        int ref = head.needSmall("ref");
        int count = head.needSmall("elements");
        List<RosterEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Line item = next();
            if (item == null || !item.name().equals("ITEM")) {
                throw new MalformedLineException(
                        lineNumber,
                        "DEFINE_LIST",
                        "elements",
                        "promises " + count + " ITEM lines, " + i + " came");
            }
            entries.add(entry(item));
        }
        lists.put(ref, List.copyOf(entries));
    }

    private static RosterEntry entry(Line item) {
        int health = item.small("health", 0);
        Host.Listing listing =
                switch (health) {
                    case 0 -> Host.Listing.READY;
                    case 1 -> Host.Listing.DRAINING;
                    case 2 -> Host.Listing.GONE;
                    default -> throw item.fault("health", "has an unknown value: " + health);
                };
        long since = item.whole("online_since_us", 0);
        return new RosterEntry(
                item.need("host"),
                item.small("zone", 0),
                item.small("type", 0),
                item.small("shard", 0),
                listing,
                item.number("power_hint", 1),
                since == 0 ? Moment.NEVER : new Moment(since),
                item.number("leads", 0) >= 1);
    }

    /** The next line that is not empty, or null at the end of the input. */
    private Line next() throws IOException {
        while (true) {
            int length = 0;
            int read = in.read();
            if (read < 0) {
                return null;
            }
            while (read >= 0 && read != '\n') {
                if (length == buffer.length) {
                    buffer = Arrays.copyOf(buffer, 2 * length);
                }
                buffer[length++] = (byte) read;
                read = in.read();
            }
            lineNumber++;
            if (length > 0 && buffer[length - 1] == '\r') {
                length--;
            }
            if (length > 0) {
                return new Line(new String(buffer, 0, length, StandardCharsets.UTF_8), lineNumber);
            }
        }
    }
}
