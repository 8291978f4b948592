package ironwind.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.InternetProtocolFamily;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.vertx.core.spi.transport.Transport;
import java.util.List;
import java.util.concurrent.ThreadFactory;

/**
 * How connections are let in: on the loop that serves them, and no more at once than there is room for. What else
 * comes waits in the system's queue. Vert.x accepts on a thread of its own, without end, however far the loop is
 * behind: a burst would take all descriptors.
 */
final class Doorway implements io.vertx.core.transport.Transport {
    private final int most;
    private final Transport nio = io.vertx.core.transport.Transport.NIO.implementation();

    /** Lets in {@code most} connections at one time. */
    Doorway(int most) {
        this.most = most;
    }

    @Override
    public String name() {
        return "doorway";
    }

    @Override
    public boolean available() {
        return true;
    }

    @Override
    public Throwable unavailabilityCause() {
        return null;
    }

    @Override
    public Transport implementation() {
        return new OneLoop();
    }

    private final class OneLoop implements Transport {
        private EventLoopGroup loops;

        @Override
        public EventLoopGroup eventLoopGroup(int type, int threads, ThreadFactory factory, int ioRatio) {
            if (type == ACCEPTOR_EVENT_LOOP_GROUP && loops != null) {
                return loops;
            }
            loops = nio.eventLoopGroup(type, threads, factory, ioRatio);
            return loops;
        }

        @Override
        public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
            return Door::new;
        }

        @Override
        public IoHandlerFactory ioHandlerFactory() {
            return nio.ioHandlerFactory();
        }

        @Override
        public DatagramChannel datagramChannel() {
            return nio.datagramChannel();
        }

        @Override
        public DatagramChannel datagramChannel(InternetProtocolFamily family) {
            return nio.datagramChannel(family);
        }

        @Override
        public ChannelFactory<? extends Channel> channelFactory(boolean domainSocket) {
            return nio.channelFactory(domainSocket);
        }
    }

    /** The listening socket. */
    private final class Door extends NioServerSocketChannel {
        private int inside;

        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            if (inside >= most) {
                config().setAutoRead(false);
                return 0;
            }
            int before = accepted.size();
            int count = super.doReadMessages(accepted);
            for (Object channel : accepted.subList(before, accepted.size())) {
                inside++;
                ((Channel) channel).closeFuture().addListener(closed -> eventLoop().execute(this::left));
            }
            return count;
        }

        private void left() {
            inside--;
            config().setAutoRead(true);
        }
    }
}
