package ironwind.net;

import ironwind.idle.CloseReason;
import ironwind.idle.ConnectionState;
import ironwind.idle.TrackedConnection;
import ironwind.model.Span;
import ironwind.pg.ClientMessage;
import ironwind.pg.Encoder;
import ironwind.pg.Frame;
import ironwind.pg.FrameDecoder;
import ironwind.pg.PgError;
import ironwind.pg.PgException;
import ironwind.pg.Statement;
import ironwind.pg.WireFormat;
import java.nio.channels.SocketChannel;
import java.util.function.Function;

/**
 * One client's connection: its commands are taken as they come and answered in their order. While
 * it says nothing it holds no buffer, no list and no timer.
 */
final class ClientConnection extends TrackedConnection implements LoopSocket.Handler {
    /**
     * Commands of a client that are read ahead of the answer to the first: each may hold a value in
     * memory.
     */
    private static final int MOST_AHEAD = 16;

    private final LoopSocket socket;
    private final ClientConnections clients;

    /** What has come of a message that is not whole; null where none has begun. */
    private FrameDecoder frames;

    /** Bytes lent for it. */
    private int lent;

    private Exchange first;
    private Exchange last;
    private int ahead;

    /** How long it may have waited to be let in, and its first command with it. */
    private Span waited;

    private boolean started;
    private boolean served;
    private boolean skipping;
    private boolean proceeding;

    /**
     * How the connection is to end once all that it brought is answered; null while more may come.
     */
    private Ending closing;

    private boolean parting;
    private boolean closed;

    ClientConnection(SocketChannel channel, ClientConnections clients, Span waited) {
        this.clients = clients;
        this.waited = waited;
        this.socket = new LoopSocket(channel, clients.buffers, this);
    }

    /** Begins to listen to its client. */
    void begin() {
        socket.register(clients.loop);
        settle();
    }

    // ---- what comes

    @Override
    public void onReadable() {
        if (!closed && clients.mayRead(this)) {
            read();
        } else {
            settle();
        }
    }

    /** Its turn to be read has come. */
    void turn() {
        if (!closed) {
            read();
        }
    }

    private void read() {
        byte[] bytes = socket.read();
        if (bytes == null) {
            closed(Ending.CLIENT_LEFT);
        } else {
            received(bytes);
        }
    }

    private void received(byte[] bytes) {
        if (bytes.length > 0 && closing != Ending.CLIENT_MALFORMED) {
            if (frames == null) {
                frames =
                        new FrameDecoder(
                                !started, ClientMessage.TYPES, WireFormat.MAX_MESSAGE_BYTES);
            }
            frames.add(bytes);
            proceed();
        } else {
            settle();
        }
        clients.heard(this);
    }

    /**
     * Takes what has come, but no more while the client is far ahead of its answers or does not
     * read them.
     */
    private void proceed() {
        if (proceeding) {
            return;
        }
        proceeding = true;
        boolean took = false;
        try {
            Frame frame = next();
            while (frame != null) {
                took = true;
                take(ClientMessage.decode(frame));
                frame = next();
            }
            keep();
        } catch (PgException fault) {
            fail(fault);
        } finally {
            proceeding = false;
        }
        settle(took);
    }

    private Frame next() {
        return frames == null || closed || closing == Ending.CLIENT_MALFORMED || hasEnough()
                ? null
                : frames.next();
    }

    private boolean hasEnough() {
        return ahead >= MOST_AHEAD || clients.isOwedMuch(this);
    }

    /** What is left of the bytes that came is lent; where nothing is, nothing is held. */
    private void keep() {
        int size = frames == null ? 0 : frames.bufferCapacity();
        if (size == 0) {
            frames = null;
        }
        if (size != lent) {
            // Where whole commands wait behind unanswered ones they were taken, and are not to be
            // lost.
            if (!clients.lend(size - lent, hasEnough())) {
                throw new PgException(
                        CloseReason.NO_MEMORY.sqlState, CloseReason.NO_MEMORY.message);
            }
            lent = size;
        }
    }

    private void take(ClientMessage message) {
        if (message instanceof ClientMessage.Query query) {
            command(query.sql());
        } else if (message instanceof ClientMessage.Startup) {
            started = true;
            frames.startupDone();
            write(Encoder.startupResponse());
        } else if (message instanceof ClientMessage.EncryptionRequest) {
            write(Encoder.encryptionRejected());
        } else if (message instanceof ClientMessage.ExtendedQuery) {
            if (!skipping) {
                skipping = true;
                refuse(
                        new PgException(
                                PgException.FEATURE_NOT_SUPPORTED,
                                "only simple queries are spoken here"),
                        Encoder::error);
            }
        } else if (message instanceof ClientMessage.Sync) {
            skipping = false;
            add(null, 0).answer(Encoder.readyForQuery());
        } else {
            closed(Ending.CLIENT_LEFT);
        }
    }

    /** How long a command that was read while the loop lagged so much may have lain there. */
    Span lay(Span lag) {
        Span lay = lag.plus(waited);
        waited = Span.ZERO;
        return lay;
    }

    private void command(String sql) {
        try {
            clients.command(this, sql);
        } catch (PgException fault) {
            refuse(fault, Encoder::errorAndReady);
        }
    }

    // ---- what goes

    /** The error that is owed in place of an answer, in one of the encoder's forms. */
    private void refuse(PgException fault, Function<PgError, byte[]> form) {
        clients.malformed(fault);
        add(null, 0).answer(form.apply(new PgError(fault.sqlState, fault.getMessage(), null)));
    }

    /** The connection ends in an error, after the answers that are owed before it. */
    void fail(PgException fault) {
        endWith(() -> refuse(fault, Encoder::fatalError));
    }

    /** The same for a reason of ours; {@code comeBack} tells when another try makes sense. */
    void turnAway(CloseReason reason, Span comeBack) {
        PgError failure = new PgError(reason.sqlState, reason.message, Timers.told(comeBack));
        endWith(() -> add(null, 0).answer(Encoder.fatalError(failure)));
    }

    private void endWith(Runnable error) {
        if (!closed && closing != Ending.CLIENT_MALFORMED) {
            closing = Ending.CLIENT_MALFORMED;
            drop();
            error.run();
            settle();
        }
    }

    private void drop() {
        frames = null;
        clients.lend(-lent, true);
        lent = 0;
    }

    Exchange add(Statement statement, int bytes) {
        Exchange exchange = new Exchange(statement, this::flush);
        exchange.reservedBytes = bytes;
        if (last == null) {
            first = exchange;
        } else {
            last.next = exchange;
        }
        last = exchange;
        ahead++;
        return exchange;
    }

    /** Passes on what is answered, in the order of the commands. */
    private void flush() {
        while (first != null && first.isAnswered()) {
            Exchange answered = first;
            first = answered.next;
            last = first == null ? null : last;
            ahead--;
            served |= answered.rpc != null;
            write(answered.takeAnswer());
            clients.answered(this, answered);
        }
        proceed();
    }

    private void write(byte[]... parts) {
        if (!closed) {
            int over = socket.write(parts);
            if (over > 0 && !closed) {
                clients.owes(this, over);
            }
        }
    }

    @Override
    public void onWritten(int bytes) {
        if (!closed) {
            clients.took(this, bytes);
            proceed();
        }
    }

    @Override
    public void onFailure() {
        // Not at once: whoever writes is in the midst of something.
        clients.soon(() -> closed(Ending.CLIENT_LEFT));
    }

    // ---- how it stands, and its end

    private void settle() {
        settle(false);
    }

    /** Says how it stands now; {@code anew}: it has come to stand so since it last said. */
    private void settle(boolean anew) {
        if (closed || proceeding) {
            return;
        }
        if (closing == null && clients.isDismissing()) {
            closing = Ending.CLIENT_DISMISSED;
        }
        if (first == null && closing == Ending.CLIENT_MALFORMED) {
            parting = true;
        } else if (first == null
                && (frames == null || !started)
                && closing == Ending.CLIENT_DISMISSED) {
            closed(closing);
            return;
        }
        // One that is not read from, as it is owed much, does not keep us waiting for its message:
        // we keep it waiting.
        ConnectionState now =
                parting
                        ? ConnectionState.CLOSING
                        : first != null || hasEnough()
                                ? ConnectionState.BUSY
                                : !started
                                        ? ConnectionState.STARTUP
                                        : frames != null
                                                ? ConnectionState.RECEIVING
                                                : served
                                                        ? ConnectionState.IDLE
                                                        : ConnectionState.UNUSED;
        if (anew || now != state()) {
            clients.stands(this, now);
        }
        socket.setReadInterest(!parting && !hasEnough() && !clients.waits(this));
    }

    /** Closes the connection between two requests, now or once what it has brought is answered. */
    void dismiss() {
        closing = closing == null ? Ending.CLIENT_DISMISSED : closing;
        settle();
    }

    /**
     * Ends a connection that is to give way, but not one that has just spoken: what its client has
     * written is read first, and an RPC that was taken is not lost. Tells whether it ended.
     */
    boolean giveWay() {
        if (!closed && !parting) {
            byte[] bytes = socket.read();
            if (bytes != null && bytes.length > 0) {
                received(bytes);
                return closed;
            }
        }
        closed(closing == null ? Ending.CLIENT_DISMISSED : closing);
        return true;
    }

    /** Ends at once, whatever is under way: a half-written answer stays incomplete. */
    void cut() {
        closed(Ending.CLIENT_DISMISSED);
    }

    private void closed(Ending ending) {
        if (!closed) {
            closed = true;
            socket.close();
            drop();
            Exchange open = first;
            first = null;
            last = null;
            clients.ended(this, ending, open);
        }
    }
}
