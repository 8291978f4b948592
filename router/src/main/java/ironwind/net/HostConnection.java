package ironwind.net;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import ironwind.model.Moment;
import ironwind.pg.Encoder;
import ironwind.pg.Frame;
import ironwind.pg.Frames;
import ironwind.pg.HostMessage;
import ironwind.pg.PgFault;

/** One connection to a host: brought up, then used for one request after another. */
final class HostConnection {
    private static final String USER = "client";
    private static final String DATABASE = "core";

    final String hostId;
    private final HostConnections pool;
    private final Frames frames;
    private NetSocket socket;
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
    private Future<Void> written;
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
        this.frames = new Frames(false, HostMessage.TYPES, pool.longestMessage);
        this.use = use;
    }

    boolean isUp() {
        return up;
    }

    /** The socket is there: says hello, and waits for the host's welcome. */
    void opened(NetSocket opened) {
        socket = opened;
        if (closed) {
            release();
            return;
        }
        socket.handler(this::received);
        socket.closeHandler(nothing -> broken());
        socket.exceptionHandler(fault -> broken());
        socket.write(Buffer.buffer(Encoder.startup(USER, DATABASE)));
    }

    void take(Use next) {
        use = next;
    }

    void write(byte[] request) {
        word = new HostWord();
        written = socket.write(Buffer.buffer(request));
    }

    /** The use is over before its request was written. */
    void leave() {
        use = null;
        pool.idle(this);
    }

    /** Gives up a use, and the connection with it; its owner hears no more of it. Tells whether it may have run. */
    boolean giveUp() {
        boolean mayHaveRun = wasWritten();
        use = null;
        close();
        return mayHaveRun;
    }

    private boolean wasWritten() {
        return written != null && written.succeeded();
    }

    private void received(Buffer buffer) {
        if (closed) {
            return;
        }
        if (up && !wasWritten()) {
            // More than an answer, or ahead of its request: nothing that comes here can be told apart any more.
            pool.surplus(this, buffer.length());
            end(use == null ? Ending.SURPLUS : Ending.BROKE_UNWRITTEN);
            return;
        }
        try {
            frames.add(buffer.getBytes());
            for (Frame frame = frames.next(); frame != null && !closed; frame = frames.next()) {
                pendingLent = 0;
                HostMessage message = HostMessage.decode(frame);
                if (message instanceof HostMessage.Ready) {
                    ready();
                } else {
                    word.hear(message);
                }
            }
            reserve();
            if (!closed && frames.midway() && !limited) {
                limited = true;
                pool.later(() -> {
                    limited = false;
                    stuck();
                });
            }
        } catch (PgFault fault) {
            spoilt(fault);
        }
    }

    /** Memory for a message is had before it is read on; what came whole in one piece is passed on or dropped. */
    private void reserve() {
        int more = closed || !frames.midway() ? 0 : frames.wants() - pendingLent;
        if (more > 0 && needs == 0) {
            needs = more;
            if (pool.lend(this, more)) {
                lent();
            } else {
                socket.pause();
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
        socket.resume();
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

    private void spoilt(PgFault fault) {
        pool.garbled(this, fault);
        end(wasWritten() ? Ending.GARBLED : Ending.BROKE_UNWRITTEN);
    }

    /** Guards against an answer that has begun and never ends: its host is not silent, and all others wait. */
    private void stuck() {
        if (!closed && frames.midway()) {
            spoilt(new PgFault(PgFault.PROTOCOL, "a message stays without its end"));
        }
    }

    private void ready() {
        if (!up) {
            up = true;
            word = new HostWord();
            if (frames.midway()) {
                throw new PgFault(PgFault.PROTOCOL, "more than a welcome");
            } else if (use == null) {
                pool.idle(this);
            } else {
                use.up();
            }
        } else {
            Use done = use;
            HostWord said = word;
            use = null;
            written = null;
            word = new HostWord();
            giveBack();
            if (frames.midway() || !said.isWhole()) {
                close();
            } else {
                pool.idle(this);
            }
            done.ended(said.ending(), said);
        }
    }

    /** The connection is gone. What a host said before it closed still counts. */
    private void broken() {
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
            if (socket != null) {
                release();
            }
        }
    }

    /** Its descriptor is free, or will be before another is opened. */
    private void release() {
        socket.close();
        pool.released();
    }
}
