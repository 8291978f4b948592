package ironwind.net;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import ironwind.pg.ClientMessage;
import ironwind.pg.Encoder;
import ironwind.pg.Failure;
import ironwind.pg.Frame;
import ironwind.pg.Frames;
import ironwind.pg.Pg;
import ironwind.pg.PgFault;
import ironwind.pg.Statement;
import java.util.ArrayDeque;
import java.util.Deque;

/** One client's connection: its commands are taken as they come and answered in their order. */
final class ClientConnection {
    /** Commands of a client that are read ahead of the answer to the first: each may hold a value in memory. */
    private static final int MOST_AHEAD = 16;

    private final NetSocket socket;
    private final Clients clients;
    private final Frames frames = new Frames(true, Pg.LARGEST_MESSAGE);
    private final Deque<Exchange> exchanges = new ArrayDeque<>();
    private boolean skipping;
    private boolean proceeding;
    private boolean paused;
    /** How the connection is to end once all that it brought is answered; null while more may come. */
    private Ending closing;
    private boolean closed;

    ClientConnection(NetSocket socket, Clients clients) {
        this.socket = socket;
        this.clients = clients;
        socket.handler(this::received);
        socket.drainHandler(nothing -> proceed());
        socket.closeHandler(nothing -> closed(Ending.CLIENT_LEFT));
        socket.exceptionHandler(fault -> closed(Ending.CLIENT_LEFT));
    }

    private void received(Buffer buffer) {
        frames.add(buffer.getBytes());
        proceed();
    }

    /** Takes what has come, but no more while the client is far ahead of its answers or does not read them. */
    private void proceed() {
        if (proceeding) {
            return;
        }
        proceeding = true;
        try {
            Frame frame = next();
            while (frame != null) {
                take(ClientMessage.decode(frame));
                frame = next();
            }
        } catch (PgFault fault) {
            clients.malformed(fault);
            closing = Ending.CLIENT_MALFORMED;
            add(null).answer(Encoder.fatal(new Failure(fault.code, fault.getMessage(), null)));
        } finally {
            proceeding = false;
        }
        pace();
        closeIfDone();
    }

    private Frame next() {
        return closed || closing == Ending.CLIENT_MALFORMED || hasEnough() ? null : frames.next();
    }

    private boolean hasEnough() {
        return exchanges.size() >= MOST_AHEAD || socket.writeQueueFull();
    }

    private void pace() {
        if (!closed && hasEnough() != paused) {
            paused = !paused;
            if (paused) {
                socket.pause();
            } else {
                socket.resume();
            }
        }
    }

    private void take(ClientMessage message) {
        if (message instanceof ClientMessage.Query query) {
            command(query.sql());
        } else if (message instanceof ClientMessage.Startup) {
            frames.started();
            write(Encoder.welcome());
        } else if (message instanceof ClientMessage.Encryption) {
            write(Encoder.noEncryption());
        } else if (message instanceof ClientMessage.Extended) {
            skipping = true;
        } else if (message instanceof ClientMessage.Sync) {
            Failure failure = new Failure(PgFault.UNSUPPORTED, "only simple queries are spoken here", null);
            add(null).answer(skipping ? Encoder.failure(failure) : Encoder.ready());
            skipping = false;
        } else {
            closed(Ending.CLIENT_LEFT);
        }
    }

    private void command(String sql) {
        try {
            clients.command(this, sql);
        } catch (PgFault fault) {
            clients.malformed(fault);
            add(null).answer(Encoder.failure(new Failure(fault.code, fault.getMessage(), null)));
        }
    }

    Exchange add(Statement statement) {
        Exchange exchange = new Exchange(this, statement);
        exchanges.add(exchange);
        return exchange;
    }

    /** Passes on what is answered, in the order of the commands. */
    void flush() {
        while (!exchanges.isEmpty() && exchanges.peek().isAnswered()) {
            write(exchanges.poll().takeAnswer());
        }
        proceed();
    }

    /** Closes the connection between two requests, now or once what it has brought is answered. */
    void dismiss() {
        closing = closing == null ? Ending.CLIENT_DISMISSED : closing;
        closeIfDone();
    }

    private void closeIfDone() {
        if (isIdle() && closing != null || exchanges.isEmpty() && closing == Ending.CLIENT_MALFORMED) {
            closed(closing);
        }
    }

    boolean isIdle() {
        return exchanges.isEmpty() && !frames.midway();
    }

    private void write(byte[] bytes) {
        if (!closed) {
            socket.write(Buffer.buffer(bytes));
        }
    }

    private void closed(Ending ending) {
        if (!closed) {
            closed = true;
            socket.close();
            clients.ended(this, ending, exchanges);
        }
    }
}
