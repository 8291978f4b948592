package ironwind.net;

import ironwind.model.Moment;
import ironwind.pg.Encoder;
import ironwind.pg.Frame;
import ironwind.pg.FrameDecoder;
import ironwind.pg.HostMessage;
import ironwind.pg.PgException;
import java.io.IOException;
import java.net.ConnectException;

/** One connection to a host: brought up, then used for one request after another. */
final class HostConnection implements LoopSocket.Handler {
    private static final String USER = "client";
    private static final String DATABASE = "core";

    final String hostId;
    private final HostConnections pool;
    private final FrameDecoder frames;
    private LoopSocket socket;
    private boolean up;
    private boolean closed;

    /** Whether the rest of a message is being waited for. */
    private boolean limited;

    /** Bytes lent for what has come of an answer, and for the rest of its message. */
    private int lent;

    private int needs;

    /** Of these, for the message that is not whole. */
    private int pendingLent;

    private Use use;
    private HostWord word = new HostWord();

    /** Whether a request was begun on it, and how much of that the system has not taken. */
    private boolean asked;

    private int unwritten;
    Moment idleSince = Moment.NEVER;

    /** One use of a connection: a request and its answer. */
    interface Use {
        /** The connection is up: time to {@link #write} the request, or to {@link #leave}. */
        void up();

        /** Called once, unless the use was given up by its owner. */
        void ended(Ending ending, HostWord word);
    }

    HostConnection(String hostId, HostConnections pool, Use use) {
        this.hostId = hostId;
        this.pool = pool;
        this.frames = new FrameDecoder(false, HostMessage.TYPES, pool.longestMessage);
        this.use = use;
    }

    boolean isUp() {
        return up;
    }

    /** Its socket begins to come up. */
    void begin(LoopSocket begun) {
        socket = begun;
    }

    /** The socket is there: says hello, and waits for the host's welcome. */
    @Override
    public void onConnected() {
        if (!closed) {
            socket.setReadInterest(true);
            socket.write(Encoder.startup(USER, DATABASE));
        }
    }

    @Override
    public void onConnectFailed(IOException cause) {
        failed(cause instanceof ConnectException ? Ending.REFUSED : Ending.NEVER_UP);
    }

    void take(Use next) {
        use = next;
    }

    void write(byte[] request) {
        word = new HostWord();
        asked = true;
        unwritten = socket.write(request);
    }

    @Override
    public void onWritten(int bytes) {
        unwritten = Math.max(0, unwritten - bytes);
    }

    /** The use is over before its request was written. */
    void leave() {
        use = null;
        pool.idle(this);
    }

    /**
     * Gives up a use, and the connection with it; its owner hears no more of it. Tells whether it
     * may have run.
     */
    boolean giveUp() {
        boolean mayHaveRun = wasWritten();
        use = null;
        close();
        return mayHaveRun;
    }

    private boolean wasWritten() {
        return asked && unwritten == 0;
    }

    @Override
    public void onReadable() {
        byte[] bytes = closed ? null : socket.read();
        if (bytes == null) {
            hungUp();
        } else if (bytes.length > 0) {
            received(bytes);
        }
    }

    private void received(byte[] bytes) {
        if (up && !wasWritten()) {
            // More than an answer, or ahead of its request: nothing that comes here can be told
            // apart any more.
            pool.surplus(this, bytes.length);
            end(use == null ? Ending.SURPLUS : Ending.BROKE_UNWRITTEN);
            return;
        }
        try {
            frames.add(bytes);
            for (Frame frame = frames.next(); frame != null && !closed; frame = frames.next()) {
                pendingLent = 0;
                HostMessage message = HostMessage.decode(frame);
                if (message instanceof HostMessage.ReadyForQuery) {
                    ready();
                } else {
                    word.hear(message);
                }
            }
            reserve();
            if (!closed && frames.hasBufferedBytes() && !limited) {
                limited = true;
                pool.later(
                        () -> {
                            limited = false;
                            stuck();
                        });
            }
        } catch (PgException fault) {
            spoilt(fault);
        }
    }

    /**
     * Memory for a message is had before it is read on; what came whole in one piece is passed on
     * or dropped.
     */
    private void reserve() {
        int more = closed || !frames.hasBufferedBytes() ? 0 : frames.expectedBytes() - pendingLent;
        if (more > 0 && needs == 0) {
            needs = more;
            if (pool.lend(this, more)) {
                lent();
            } else {
                socket.setReadInterest(false);
            }
        }
    }

    int needs() {
        return needs;
    }

    private void lent() {
        lent += needs;
        pendingLent += needs;
        needs = 0;
    }

    /** The memory that it waited for is lent. */
    void readOn() {
        lent();
        socket.setReadInterest(true);
    }

    private void giveBack() {
        if (lent > 0 || needs > 0) {
            int back = lent;
            lent = 0;
            pendingLent = 0;
            needs = 0;
            pool.giveBack(this, back);
        }
    }

    private void spoilt(PgException fault) {
        pool.garbled(this, fault);
        end(wasWritten() ? Ending.GARBLED : Ending.BROKE_UNWRITTEN);
    }

    /**
     * Guards against an answer that has begun and never ends: its host is not silent, and all
     * others wait.
     */
    private void stuck() {
        if (!closed && frames.hasBufferedBytes()) {
            spoilt(
                    new PgException(
                            PgException.PROTOCOL_VIOLATION, "a message stays without its end"));
        }
    }

    private void ready() {
        if (!up) {
            up = true;
            word = new HostWord();
            if (frames.hasBufferedBytes()) {
                throw new PgException(PgException.PROTOCOL_VIOLATION, "more than a welcome");
            } else if (use == null) {
                pool.idle(this);
            } else {
                use.up();
            }
        } else {
            Use done = use;
            HostWord said = word;
            use = null;
            asked = false;
            word = new HostWord();
            giveBack();
            if (frames.hasBufferedBytes() || !said.isWhole()) {
                close();
            } else {
                pool.idle(this);
            }
            done.ended(said.ending(), said);
        }
    }

    @Override
    public void onFailure() {
        // Not at once: whoever writes is in the midst of something.
        pool.soon(this::hungUp);
    }

    /** The connection is gone. What a host said before it closed still counts. */
    private void hungUp() {
        if (closed) {
            return;
        }
        if (use == null) {
            end(Ending.CLOSED_BY_HOST);
        } else if (word.isWhole()) {
            end(word.ending());
        } else {
            end(wasWritten() ? Ending.BROKE_WRITTEN : Ending.BROKE_UNWRITTEN);
        }
    }

    /** It never came up. */
    void failed(Ending ending) {
        if (!closed && !up) {
            end(ending);
        }
    }

    private void end(Ending ending) {
        Use done = use;
        HostWord said = word;
        use = null;
        close();
        if (done == null) {
            pool.ended(ending);
        } else {
            done.ended(ending, said);
        }
    }

    void close() {
        if (!closed) {
            closed = true;
            giveBack();
            pool.forget(this);
            // Its descriptor is free, or will be before another is opened.
            socket.close();
            pool.released();
        }
    }
}
