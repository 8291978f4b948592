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
 * Live heap of one accepted connection that is read from, by what stands between the system's
 * socket and its owner.
 */
public final class SocketBenchmark {
    private static final long SETTLED_MS = 300;
    private static final int WARMING = 100;

    private final PrintStream out;

    public SocketBenchmark(PrintStream out) {
        this.out = out;
    }

    /** A server that holds what it accepted until it is ended. */
    private record Running(int port, AutoCloseable end) {}

    /** Lets connections in, and tells of each. */
    private interface Server {
        Running begin(CountDownLatch accepted) throws Exception;
    }

    /** What stands between the system's socket and its owner. */
    public enum Way {
        /** Accepted, and nothing more. */
        BARE,
        /** A plain channel on the loop's handle. */
        HANDLE,
        /** A Netty channel with one handler. */
        CHANNEL,
        /** A Vert.x socket with one handler. */
        VERTX
    }

    /**
     * Prints the bytes of live heap of a connection, both ends, in this way; one way a process, as
     * each leaves traces.
     */
    public void run(Way way, int connections) throws Exception {
        Server server =
                switch (way) {
                    case BARE -> this::bare;
                    case HANDLE -> this::handle;
                    case CHANNEL -> this::channel;
                    case VERTX -> this::vertx;
                };
        // Played once before, so that no class is loaded while it counts.
        measure(server, WARMING);
        out.printf("%-8s %8.0f bytes a connection, both ends%n", way, measure(server, connections));
    }

    private double measure(Server server, int connections) throws Exception {
        CountDownLatch accepted = new CountDownLatch(connections);
        Running running = server.begin(accepted);
        List<java.nio.channels.SocketChannel> clients = new ArrayList<>(connections);
        long before = used();
        for (int i = 0; i < connections; i++) {
            clients.add(
                    java.nio.channels.SocketChannel.open(
                            new InetSocketAddress("127.0.0.1", running.port)));
        }
        accepted.await();
        double each = (used() - before) / (double) connections;
        for (java.nio.channels.SocketChannel client : clients) {
            client.close();
        }
        running.end.close();
        return each;
    }

    private static long used() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            System.gc();
            Thread.sleep(SETTLED_MS);
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** Accepted, and nothing more. */
    private Running bare(CountDownLatch accepted) throws IOException {
        ServerSocketChannel server =
                ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0), 4_096);
        return accept(server, channel -> {}, accepted);
    }

    private Running handle(CountDownLatch accepted) throws IOException {
        IoEventLoop loop =
                (IoEventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        ServerSocketChannel server =
                ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0), 4_096);
        return accept(
                server,
                channel -> {
                    channel.configureBlocking(false);
                    loop.register(new Handle(channel))
                            .addListener(
                                    result ->
                                            ((io.netty.channel.IoRegistration) result.getNow())
                                                    .submit(NioIoOps.READ));
                },
                accepted);
    }

    private static final class Handle
            extends NioSelectableChannelIoHandle<java.nio.channels.SocketChannel> {
        private Handle(java.nio.channels.SocketChannel channel) {
            super(channel);
        }

        @Override
        protected void handle(java.nio.channels.SocketChannel channel, SelectionKey key) {
            try {
                channel.close();
            } catch (IOException gone) {
                // all there was to do
            }
        }
    }

    private interface Taker {
        void take(java.nio.channels.SocketChannel channel) throws IOException;
    }

    private static Running accept(
            ServerSocketChannel server, Taker taker, CountDownLatch accepted) {
        List<java.nio.channels.SocketChannel> kept = new ArrayList<>((int) accepted.getCount());
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                while (accepted.getCount() > 0) {
                                    java.nio.channels.SocketChannel channel = server.accept();
                                    kept.add(channel);
                                    taker.take(channel);
                                    accepted.countDown();
                                }
                            } catch (IOException e) {
                                throw new IllegalStateException(e);
                            }
                        },
                        "acceptor");
        thread.setDaemon(true);
        thread.start();
        return new Running(
                server.socket().getLocalPort(),
                () -> {
                    for (java.nio.channels.SocketChannel channel : kept) {
                        channel.close();
                    }
                    kept.clear();
                    server.close();
                });
    }

    private Running channel(CountDownLatch accepted) throws InterruptedException {
        MultiThreadIoEventLoopGroup loops =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        int port =
                ((InetSocketAddress)
                                new ServerBootstrap()
                                        .group(loops)
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
        return new Running(port, () -> loops.shutdownGracefully().sync());
    }

    private Running vertx(CountDownLatch accepted) throws IOException {
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
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
        return new Running(port, () -> vertx.close().await());
    }
}
