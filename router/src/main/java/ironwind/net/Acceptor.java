package ironwind.net;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoOps;
import io.netty.channel.nio.NioSelectableChannelIoHandle;
import ironwind.config.Address;
import ironwind.model.Span;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;

/**
 * Accepts client connections on the event loop. While the handler admits none, because a limit on
 * connections or on their rate is reached, new ones wait in the operating system's listen backlog.
 */
final class Acceptor extends NioSelectableChannelIoHandle<ServerSocketChannel> {
    /** Length of the listen backlog; the operating system may allow less. */
    private static final int BACKLOG = 16_384;

    /** Connections accepted per event, so that existing ones are served in between. */
    private static final int MAX_ACCEPTS_PER_EVENT = 32;

    /** Pause after a failed accept, for example when no file descriptor is free. */
    private static final Span ACCEPT_FAILURE_PAUSE = Span.ofMillis(100);

    /** Decides whether connections may be accepted, and takes them over. */
    interface Handler {
        /**
         * Returns how long accepting is to pause: zero if a connection may be accepted now, null if
         * accepting pauses until {@link Acceptor#tryResume} is called.
         */
        Span acceptPause();

        /** Takes over an accepted connection, which is in blocking mode. */
        void onAccepted(SocketChannel socket);
    }

    private final ServerSocketChannel channel;
    private final Handler handler;
    private final Timers timers;
    private final Consumer<IOException> onAcceptFailed;
    private IoRegistration registration;
    private boolean paused;
    private boolean resumeScheduled;

    private Acceptor(
            ServerSocketChannel channel,
            Handler handler,
            Timers timers,
            Consumer<IOException> onAcceptFailed) {
        super(channel);
        this.channel = channel;
        this.handler = handler;
        this.timers = timers;
        this.onAcceptFailed = onAcceptFailed;
    }

    /**
     * Starts to listen. Must be called on the event loop.
     *
     * @param onAcceptFailed receives the cause when a connection cannot be accepted
     * @throws IOException if the address cannot be bound
     */
    static Acceptor open(
            IoEventLoop loop,
            Address address,
            Handler handler,
            Timers timers,
            Consumer<IOException> onAcceptFailed)
            throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.bind(new InetSocketAddress(address.ip(), address.port()), BACKLOG);
        } catch (IOException e) {
            channel.close();
            throw e;
        }
        Acceptor acceptor = new Acceptor(channel, handler, timers, onAcceptFailed);
        loop.register(acceptor)
                .addListener(
                        result -> {
                            acceptor.registration = (IoRegistration) result.getNow();
                            acceptor.updateInterest();
                        });
        return acceptor;
    }

    /** Returns the port that it listens on. */
    int port() {
        return channel.socket().getLocalPort();
    }

    @Override
    protected void handle(ServerSocketChannel ready, SelectionKey key) {
        for (int i = 0; i < MAX_ACCEPTS_PER_EVENT && mayAccept(); i++) {
            try {
                SocketChannel socket = ready.accept();
                if (socket == null) {
                    return;
                }
                handler.onAccepted(socket);
            } catch (IOException e) {
                onAcceptFailed.accept(e);
                pause(ACCEPT_FAILURE_PAUSE);
                return;
            }
        }
    }

    private boolean mayAccept() {
        Span duration = handler.acceptPause();
        if (duration == null || duration.us() > 0) {
            pause(duration);
        }
        return !paused;
    }

    private void pause(Span duration) {
        paused = true;
        updateInterest();
        if (duration != null && !resumeScheduled) {
            resumeScheduled = true;
            timers.schedule(
                    duration,
                    () -> {
                        resumeScheduled = false;
                        tryResume();
                    });
        }
    }

    /**
     * Resumes accepting if the handler allows it. Does nothing during a pause of a known duration,
     * which ends by itself.
     */
    void tryResume() {
        if (paused && !resumeScheduled) {
            paused = false;
            if (mayAccept()) {
                updateInterest();
            }
        }
    }

    private void updateInterest() {
        if (registration != null && registration.isValid()) {
            registration.submit(paused ? NioIoOps.NONE : NioIoOps.ACCEPT);
        }
    }

    @Override
    public void close() {
        if (registration != null) {
            registration.cancel();
        }
        try {
            channel.close();
        } catch (IOException e) {
            // The channel is closed nevertheless.
        }
    }
}
