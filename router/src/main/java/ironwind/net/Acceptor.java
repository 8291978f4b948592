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
 * The listening socket, on the loop that serves: nothing is let in while there is no room for it,
 * or faster than is allowed; it waits in the system's queue.
 */
final class Acceptor extends NioSelectableChannelIoHandle<ServerSocketChannel> {
    /** The system may allow fewer. */
    private static final int QUEUE = 16_384;

    /** Let in at a time, so that those inside are served between. */
    private static final int AT_ONCE = 32;

    /** After the system had no descriptor to give. */
    private static final Span REST = Span.ofMillis(100);

    /** Says whether one more may come in, and takes it. */
    interface Handler {
        /**
         * How long the door stays shut; zero where one may come in now, null until {@link
         * Acceptor#tryResume} is called.
         */
        Span acceptPause();

        void onAccepted(SocketChannel socket);
    }

    private final ServerSocketChannel channel;
    private final Handler handler;
    private final Timers timers;
    private final Consumer<IOException> noDescriptor;
    private IoRegistration registration;
    private boolean shut;
    private boolean timed;

    private Acceptor(
            ServerSocketChannel channel,
            Handler handler,
            Timers timers,
            Consumer<IOException> noDescriptor) {
        super(channel);
        this.channel = channel;
        this.handler = handler;
        this.timers = timers;
        this.noDescriptor = noDescriptor;
    }

    /** Listens, on the loop only. An {@link IOException} tells that the address can't be had. */
    static Acceptor open(
            IoEventLoop loop,
            Address at,
            Handler handler,
            Timers timers,
            Consumer<IOException> noDescriptor)
            throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.bind(new InetSocketAddress(at.ip(), at.port()), QUEUE);
        } catch (IOException taken) {
            channel.close();
            throw taken;
        }
        Acceptor door = new Acceptor(channel, handler, timers, noDescriptor);
        loop.register(door)
                .addListener(
                        result -> {
                            door.registration = (IoRegistration) result.getNow();
                            door.apply();
                        });
        return door;
    }

    int port() {
        return channel.socket().getLocalPort();
    }

    @Override
    protected void handle(ServerSocketChannel ready, SelectionKey key) {
        for (int i = 0; i < AT_ONCE && open(); i++) {
            try {
                SocketChannel socket = ready.accept();
                if (socket == null) {
                    return;
                }
                handler.onAccepted(socket);
            } catch (IOException none) {
                noDescriptor.accept(none);
                shut(REST);
                return;
            }
        }
    }

    private boolean open() {
        Span rest = handler.acceptPause();
        if (rest == null || rest.us() > 0) {
            shut(rest);
        }
        return !shut;
    }

    private void shut(Span rest) {
        shut = true;
        apply();
        if (rest != null && !timed) {
            timed = true;
            timers.after(
                    rest,
                    () -> {
                        timed = false;
                        tryResume();
                    });
        }
    }

    /** There may be room again. */
    void tryResume() {
        if (shut && !timed) {
            shut = false;
            if (open()) {
                apply();
            }
        }
    }

    private void apply() {
        if (registration != null && registration.isValid()) {
            registration.submit(shut ? NioIoOps.NONE : NioIoOps.ACCEPT);
        }
    }

    @Override
    public void close() {
        if (registration != null) {
            registration.cancel();
        }
        try {
            channel.close();
        } catch (IOException gone) {
            // it is closed all the same
        }
    }
}
