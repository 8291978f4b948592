package ironwind.standin;

import ironwind.pg.ClientMessage;
import ironwind.pg.Encoder;
import ironwind.pg.Frame;
import ironwind.pg.Frames;
import ironwind.pg.Pg;
import ironwind.pg.Row;
import ironwind.pg.Statement;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

/**
 * A database host that speaks PostgreSQL's protocol: it answers every statement with a row, after
 * the time that its work takes, and records what it ran. A key such as {@code big-65536} names the
 * size of its value.
 */
public final class StandInHost {
    private static final String BIG = "big-";
    private static final int USUAL_BYTES = 64;

    private final boolean primary;
    private final long workNanos;
    private final InetSocketAddress address;
    private final Map<String, Integer> ran = new HashMap<>();
    private boolean records;

    /** Listens on loopback. */
    public StandInHost(EventLoop loop, boolean primary, long workNanos) throws IOException {
        this.primary = primary;
        this.workNanos = workNanos;
        this.address = loop.listen(new InetSocketAddress("127.0.0.1", 0), ConnectionHandler::new);
    }

    /** From now on it keeps how often each id ran. */
    public StandInHost recording() {
        records = true;
        return this;
    }

    public InetSocketAddress address() {
        return address;
    }

    /** How often each id ran. */
    public synchronized Map<String, Integer> ran() {
        return new HashMap<>(ran);
    }

    private synchronized void record(Statement statement) {
        if (records) {
            ran.merge(statement.facts().getOrDefault("id", ""), 1, Integer::sum);
        }
    }

    private static int size(Statement statement) {
        String key = statement.key();
        return key != null && key.startsWith(BIG)
                ? Integer.parseInt(key.substring(BIG.length()))
                : USUAL_BYTES;
    }

    private final class ConnectionHandler implements EventLoop.Handler {
        private final Frames frames = new Frames(true, ClientMessage.TYPES, Pg.LARGEST_MESSAGE);

        @Override
        public void received(Connection link, byte[] bytes) {
            frames.add(bytes);
            for (Frame frame = frames.next(); frame != null; frame = frames.next()) {
                ClientMessage message = ClientMessage.decode(frame);
                if (message instanceof ClientMessage.Startup) {
                    frames.started();
                    link.write(Encoder.welcome());
                } else if (message instanceof ClientMessage.Query query) {
                    Statement statement = Statement.parse(query.sql());
                    link.loop().at(System.nanoTime() + workNanos, () -> answer(link, statement));
                } else {
                    link.close();
                    return;
                }
            }
        }

        private void answer(Connection link, Statement statement) {
            if (statement.text().isEmpty()) {
                link.write(Encoder.emptyQuery());
                return;
            }
            record(statement);
            link.write(
                    Encoder.row(
                            Row.ofText("val", "v".repeat(size(statement))),
                            Map.of(
                                    "role",
                                    primary ? "primary" : "replica",
                                    "applied_ms",
                                    Long.toString(System.currentTimeMillis()))));
        }
    }
}
