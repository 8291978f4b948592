package ironwind.lab;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.IoEventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.nio.NioIoOps;
import io.netty.channel.nio.NioSelectableChannelIoHandle;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * Measures the live heap per connection at one layer of the I/O libraries, from a bare NIO channel
 * to a Vert.x socket.
 */
public final class SocketBenchmark {
    private static final long GC_SETTLE_MS = 300;
    private static final int WARM_UP_CONNECTIONS = 100;

    private final PrintStream out;

    /** Creates a benchmark that prints its result to {@code out}. */
    public SocketBenchmark(PrintStream out) {
        this.out = out;
    }

    /** A server that holds its accepted connections until it is shut down. */
    private record RunningServer(int port, AutoCloseable shutdown) {}

    /** Starts accepting connections; counts down the latch for each. */
    private interface ServerStarter {
        RunningServer start(CountDownLatch accepted) throws Exception;
    }

    /** The layer through which an accepted connection is used. */
    public enum Layer {
        /** An accepted NIO channel, not registered with a selector. */
        BARE,
        /** An NIO channel registered with a Netty event loop through an I/O handle. */
        HANDLE,
        /** A Netty channel with one handler in its pipeline. */
        CHANNEL,
        /** A Vert.x socket with one handler. */
        VERTX
    }

    /**
     * Prints the bytes of live heap per connection, both ends included. Measure only one layer per
     * process, because each leaves allocations behind.
     */
    public void run(Layer layer, int connections) throws Exception {
        ServerStarter starter =
                switch (layer) {
                    case BARE -> this::startBareServer;
                    case HANDLE -> this::startHandleServer;
                    case CHANNEL -> this::startChannelServer;
                    case VERTX -> this::startVertxServer;
                };
        // Warm-up run, so that no classes are loaded during the measurement.
        measure(starter, WARM_UP_CONNECTIONS);
        out.printf(
                "%-8s %8.0f bytes per connection, both ends%n",
                layer, measure(starter, connections));
    }

    private double measure(ServerStarter starter, int connections) throws Exception {
        CountDownLatch accepted = new CountDownLatch(connections);
        RunningServer running = starter.start(accepted);
        List<java.nio.channels.SocketChannel> clients = new ArrayList<>(connections);
        long heapBefore = usedHeap();
        for (int i = 0; i < connections; i++) {
            clients.add(
                    java.nio.channels.SocketChannel.open(
                            new InetSocketAddress("127.0.0.1", running.port)));
        }
        accepted.await();
        double bytesEach = (usedHeap() - heapBefore) / (double) connections;
        for (java.nio.channels.SocketChannel client : clients) {
            client.close();
        }
        running.shutdown.close();
        return bytesEach;
    }

    private static long usedHeap() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            System.gc();
            Thread.sleep(GC_SETTLE_MS);
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private RunningServer startBareServer(CountDownLatch accepted) throws IOException {
        ServerSocketChannel server =
                ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0), 4_096);
        return accept(server, channel -> {}, accepted);
    }

    private RunningServer startHandleServer(CountDownLatch accepted) throws IOException {
        IoEventLoop loop =
                (IoEventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        ServerSocketChannel server =
                ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0), 4_096);
        return accept(
                server,
                channel -> {
                    channel.configureBlocking(false);
                    loop.register(new ClosingHandle(channel))
                            .addListener(
                                    result ->
                                            ((io.netty.channel.IoRegistration) result.getNow())
                                                    .submit(NioIoOps.READ));
                },
                accepted);
    }

    private static final class ClosingHandle
            extends NioSelectableChannelIoHandle<java.nio.channels.SocketChannel> {
        private ClosingHandle(java.nio.channels.SocketChannel channel) {
            super(channel);
        }

        @Override
        protected void handle(java.nio.channels.SocketChannel channel, SelectionKey key) {
            try {
                channel.close();
            } catch (IOException alreadyClosed) {
                // Nothing else to release.
            }
        }
    }

    private interface ChannelConsumer {
        void accept(java.nio.channels.SocketChannel channel) throws IOException;
    }

    private static RunningServer accept(
            ServerSocketChannel server, ChannelConsumer consumer, CountDownLatch accepted) {
        List<java.nio.channels.SocketChannel> channels = new ArrayList<>((int) accepted.getCount());
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                while (accepted.getCount() > 0) {
                                    java.nio.channels.SocketChannel channel = server.accept();
                                    channels.add(channel);
                                    consumer.accept(channel);
                                    accepted.countDown();
                                }
                            } catch (IOException e) {
                                throw new IllegalStateException(e);
                            }
                        },
                        "acceptor");
        thread.setDaemon(true);
        thread.start();
        return new RunningServer(
                server.socket().getLocalPort(),
                () -> {
                    for (java.nio.channels.SocketChannel channel : channels) {
                        channel.close();
                    }
                    channels.clear();
                    server.close();
                });
    }

    private RunningServer startChannelServer(CountDownLatch accepted) throws InterruptedException {
        MultiThreadIoEventLoopGroup eventLoops =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        int port =
                ((InetSocketAddress)
                                new ServerBootstrap()
                                        .group(eventLoops)
                                        .channel(NioServerSocketChannel.class)
                                        .childHandler(
                                                new ChannelInitializer<SocketChannel>() {
                                                    @Override
                                                    protected void initChannel(
                                                            SocketChannel channel) {
                                                        channel.pipeline()
                                                                .addLast(
                                                                        new ChannelInboundHandlerAdapter() {
                                                                            @Override
                                                                            public void channelRead(
                                                                                    ChannelHandlerContext
                                                                                            context,
                                                                                    Object
                                                                                            message) {
                                                                                ReferenceCountUtil
                                                                                        .release(
                                                                                                message);
                                                                            }
                                                                        });
                                                        accepted.countDown();
                                                    }
                                                })
                                        .bind("127.0.0.1", 0)
                                        .sync()
                                        .channel()
                                        .localAddress())
                        .getPort();
        return new RunningServer(port, () -> eventLoops.shutdownGracefully().sync());
    }

    private RunningServer startVertxServer(CountDownLatch accepted) throws IOException {
        int port;
        try (ServerSocket probe = new ServerSocket(0)) {
            port = probe.getLocalPort();
        }
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        vertx.createNetServer()
                .connectHandler(
                        socket -> {
                            socket.handler(buffer -> {});
                            accepted.countDown();
                        })
                .listen(port, "127.0.0.1")
                .await();
        return new RunningServer(port, () -> vertx.close().await());
    }
}
