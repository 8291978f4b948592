package ironwind.net;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import ironwind.model.Moment;
import ironwind.model.Span;
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
import java.util.function.Function;

/** One client's connection: its commands are taken as they come and answered in their order. */
final class ClientConnection {
    /** Commands of a client that are read ahead of the answer to the first: each may hold a value in memory. */
    private static final int MOST_AHEAD = 16;
    /** Time to read a fatal error: what is closed with input unread takes back what was written. */
    private static final Span FAREWELL = Span.ofMillis(300);

    private final NetSocket socket;
    private final Clients clients;
    private final Frames frames = new Frames(true, ClientMessage.TYPES, Pg.LARGEST_MESSAGE);
    private final Deque<Exchange> exchanges = new ArrayDeque<>();
    private boolean served;
    private boolean skipping;
    /** Since when it has waited for what it waits for now: a start-up, the rest of a message, a command. */
    private Moment since = Clock.read();
    private boolean proceeding;
    private boolean paused;
    /** How the connection is to end once all that it brought is answered; null while more may come. */
    private Ending closing;
    private boolean parting;
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
        if (closing == Ending.CLIENT_MALFORMED) {
            return;
        }
        boolean idle = isIdle();
        frames.add(buffer.getBytes());
        if (idle && !frames.atStartup()) {
            since = Clock.read();
        }
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
            fail(fault);
        } finally {
            proceeding = false;
        }
        pace();
        closeIfDone();
    }

    /** The connection ends in an error, after the answers that are owed before it. */
    void fail(PgFault fault) {
        if (closed || closing == Ending.CLIENT_MALFORMED) {
            return;
        }
        closing = Ending.CLIENT_MALFORMED;
        frames.clear();
        refuse(fault, Encoder::fatal);
    }

    private Frame next() {
        return closed || closing == Ending.CLIENT_MALFORMED || hasEnough() ? null : frames.next();
    }

    private boolean hasEnough() {
        return exchanges.size() >= MOST_AHEAD || socket.writeQueueFull();
    }

    private void pace() {
        if (!closed && !parting && hasEnough() != paused) {
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
            since = Clock.read();
            write(Encoder.welcome());
        } else if (message instanceof ClientMessage.Encryption) {
            write(Encoder.noEncryption());
        } else if (message instanceof ClientMessage.Extended) {
            if (!skipping) {
                skipping = true;
                refuse(new PgFault(PgFault.UNSUPPORTED, "only simple queries are spoken here"), Encoder::error);
            }
        } else if (message instanceof ClientMessage.Sync) {
            skipping = false;
            add(null).answer(Encoder.ready());
        } else {
            closed(Ending.CLIENT_LEFT);
        }
    }

    private void command(String sql) {
        try {
            clients.command(this, sql);
        } catch (PgFault fault) {
            refuse(fault, Encoder::failure);
        }
    }

    /** The error that is owed in place of an answer, in one of the encoder's forms. */
    private void refuse(PgFault fault, Function<Failure, byte[]> form) {
        clients.malformed(fault);
        add(null).answer(form.apply(new Failure(fault.code, fault.getMessage(), null)));
    }

    Exchange add(Statement statement) {
        Exchange exchange = new Exchange(statement, this::flush);
        exchanges.add(exchange);
        return exchange;
    }

    /** Passes on what is answered, in the order of the commands. */
    private void flush() {
        while (!exchanges.isEmpty() && exchanges.peek().isAnswered()) {
            served |= exchanges.peek().rpc != null;
            write(exchanges.poll().takeAnswer());
            since = Clock.read();
        }
        proceed();
    }

    /** Closes the connection between two requests, now or once what it has brought is answered. */
    void dismiss() {
        closing = closing == null ? Ending.CLIENT_DISMISSED : closing;
        closeIfDone();
    }

    private void closeIfDone() {
        if (exchanges.isEmpty() && closing == Ending.CLIENT_MALFORMED && !closed && !parting) {
            parting = true;
            socket.pause();
            clients.later(FAREWELL, () -> closed(closing));
        } else if (isIdle() && closing == Ending.CLIENT_DISMISSED) {
            closed(closing);
        }
    }

    private boolean isIdle() {
        return exchanges.isEmpty() && !frames.midway();
    }

    /** Whether it waits for the rest of something: a start-up, or a message that has begun. */
    boolean isHalfway() {
        return closing != Ending.CLIENT_MALFORMED && (frames.atStartup() || frames.midway());
    }

    Moment since() {
        return since;
    }

    /** How well a connection is known, for which is to give way to others; null while it carries something. */
    Standing standing() {
        return parting ? Standing.PARTING : frames.atStartup() ? Standing.STRANGER
                : !isIdle() ? null : served ? Standing.SERVED : Standing.GREETED;
    }

    /** From least to best known. */
    enum Standing { PARTING, STRANGER, GREETED, SERVED }

    /** Ends a connection that is to give way. */
    void giveWay() {
        closed(closing == null ? Ending.CLIENT_DISMISSED : closing);
    }

    private void write(byte[]... parts) {
        for (byte[] part : parts) {
            if (!closed) {
                socket.write(Buffer.buffer(part));
            }
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
