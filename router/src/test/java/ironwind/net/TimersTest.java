package ironwind.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.IoEventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import ironwind.config.Address;
import ironwind.model.Span;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class TimersTest {
    private static final int STEPS = 1_000;

    private final CompletableFuture<Integer> stepsBeforeAccept = new CompletableFuture<>();
    private int steps;

    /** Guards against work in parts that keeps the event loop from its sockets for a second. */
    @Test
    void socketsArePolledBetweenTheStepsOfLongWork() throws Exception {
        MultiThreadIoEventLoopGroup group =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        IoEventLoop loop = group.next();
        Timers timers = new Timers(loop, Throwable::printStackTrace);
        Acceptor acceptor =
                loop.submit(
                                () ->
                                        Acceptor.open(
                                                loop,
                                                new Address("127.0.0.1", 0),
                                                acceptHandler(),
                                                timers,
                                                cause -> {}))
                        .get();
        loop.submit(() -> {}).get();
        Socket[] socket = new Socket[1];
        loop.submit(
                        () -> {
                            // The connection is ready while the loop is busy with this action.
                            socket[0] =
                                    new Socket(InetAddress.getLoopbackAddress(), acceptor.port());
                            step(timers);
                            return null;
                        })
                .get();
        assertThat(stepsBeforeAccept.get(10, TimeUnit.SECONDS)).isLessThan(10);
        socket[0].close();
        loop.submit(acceptor::close).get();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private void step(Timers timers) {
        steps++;
        if (steps < STEPS) {
            timers.executeAfterPoll(() -> step(timers));
        }
    }

    private Acceptor.Handler acceptHandler() {
        return new Acceptor.Handler() {
            @Override
            public Span acceptPause() {
                return Span.ZERO;
            }

            @Override
            public void onAccepted(SocketChannel socket) {
                stepsBeforeAccept.complete(steps);
            }
        };
    }
}
