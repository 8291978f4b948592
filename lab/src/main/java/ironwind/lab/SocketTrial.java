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

/** Live heap of one accepted connection that is read from, by what stands between the system's socket and its owner. */
public final class SocketTrial {
    private static final long SETTLED_MS = 300;

    private final PrintStream out;

    public SocketTrial(PrintStream out) {
        this.out = out;
    }

    /** Lets connections in, and tells of each. */
    private interface Server {
        /** Returns the port. */
        int begin(CountDownLatch accepted) throws Exception;
    }

    /** Prints bytes a connection for each way, both ends in this process, less those of the clients' ends. */
    public void run(int connections) throws Exception {
        // The first two are played once before, so that no class is loaded while it counts.
        for (Server server : List.<Server>of(this::bare, this::handle, this::channel, this::vertx)) {
            measure(server, 200);
        }
        double ends = measure(this::bare, connections);
        out.printf("%-34s %8s%n", "on top of both ends unread", "bytes");
        out.printf("%-34s %8.0f%n", "plain channel on the loop's handle", measure(this::handle, connections) - ends);
        out.printf("%-34s %8.0f%n", "Netty channel, one handler", measure(this::channel, connections) - ends);
        out.printf("%-34s %8.0f%n", "Vert.x socket, one handler", measure(this::vertx, connections) - ends);
    }

    private double measure(Server server, int connections) throws Exception {
        CountDownLatch accepted = new CountDownLatch(connections);
        int port = server.begin(accepted);
        List<java.nio.channels.SocketChannel> clients = new ArrayList<>(connections);
        long before = used();
        for (int i = 0; i < connections; i++) {
            clients.add(java.nio.channels.SocketChannel.open(new InetSocketAddress("127.0.0.1", port)));
        }
        accepted.await();
        double each = (used() - before) / (double) connections;
        for (java.nio.channels.SocketChannel client : clients) {
            client.close();
        }
        Thread.sleep(SETTLED_MS);
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
    private int bare(CountDownLatch accepted) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0), 4_096);
        accept(server, channel -> { }, accepted);
        return server.socket().getLocalPort();
    }

    private int handle(CountDownLatch accepted) throws IOException {
        IoEventLoop loop = (IoEventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        ServerSocketChannel server = ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0), 4_096);
        accept(server, channel -> {
            channel.configureBlocking(false);
            loop.register(new Handle(channel)).addListener(result ->
                    ((io.netty.channel.IoRegistration) result.getNow()).submit(NioIoOps.READ));
        }, accepted);
        return server.socket().getLocalPort();
    }

    private static final class Handle extends NioSelectableChannelIoHandle<java.nio.channels.SocketChannel> {
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

    private static void accept(ServerSocketChannel server, Taker taker, CountDownLatch accepted) {
        List<java.nio.channels.SocketChannel> kept = new ArrayList<>((int) accepted.getCount());
        Thread thread = new Thread(() -> {
            try (server) {
                while (accepted.getCount() > 0) {
                    java.nio.channels.SocketChannel channel = server.accept();
                    kept.add(channel);
                    taker.take(channel);
                    accepted.countDown();
                }
                // Keeps what it accepted reachable until the measurement is over.
                Thread.sleep(10 * SETTLED_MS);
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }, "acceptor");
        thread.setDaemon(true);
        thread.start();
    }

    private int channel(CountDownLatch accepted) throws InterruptedException {
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        return ((InetSocketAddress) new ServerBootstrap().group(loops).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new ChannelInboundHandlerAdapter() {
                            @Override
                            public void channelRead(ChannelHandlerContext context, Object message) {
                                ReferenceCountUtil.release(message);
                            }
                        });
                        accepted.countDown();
                    }
                }).bind("127.0.0.1", 0).sync().channel().localAddress()).getPort();
    }

    private int vertx(CountDownLatch accepted) throws IOException {
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        vertx.createNetServer().connectHandler(socket -> {
            socket.handler(buffer -> { });
            accepted.countDown();
        }).listen(port, "127.0.0.1").await();
        return port;
    }
}
