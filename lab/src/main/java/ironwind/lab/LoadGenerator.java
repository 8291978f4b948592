package ironwind.lab;

import ironwind.lab.AsyncClient.Answer;
import ironwind.standin.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.HdrHistogram.Histogram;

/**
 * Clients that ask all the time, at a rate that does not depend on the answers: a time counts from
 * when its question was due, so that one that had to wait for a free connection is not made to look
 * better.
 */
final class LoadGenerator implements AutoCloseable {
    private static final long LONGEST_US = 60_000_000;
    private static final long WAITS_MS = 2_000;
    private static final long SECOND = 1_000_000_000L;

    private final EventLoop loop = new EventLoop("active");
    private final List<AsyncClient> clients = new ArrayList<>();
    private final int perSecond;
    private Round round;
    private int next;
    private int asked;

    /** What came of one round. */
    static final class Round {
        final Histogram micros = new Histogram(LONGEST_US, 3);
        final Map<Answer, Integer> answers = new EnumMap<>(Answer.class);
        int noneFree;
    }

    LoadGenerator(List<InetSocketAddress> routers, int connections, int perSecond)
            throws IOException, InterruptedException {
        this.perSecond = perSecond;
        CountDownLatch up = new CountDownLatch(connections);
        AsyncClient.Listener listener =
                new AsyncClient.Listener() {
                    @Override
                    public void greeted(AsyncClient client) {
                        up.countDown();
                    }

                    @Override
                    public void answered(AsyncClient client, Answer answer, long due) {
                        round.answers.merge(answer, 1, Integer::sum);
                        round.micros.recordValue(
                                Math.min(LONGEST_US, Math.max(0, System.nanoTime() - due) / 1_000));
                    }
                };
        loop.execute(
                () -> {
                    for (int i = 0; i < connections; i++) {
                        InetSocketAddress from = new InetSocketAddress("127.8.0.1", 0);
                        clients.add(
                                AsyncClient.connect(
                                        loop, from, routers.get(i % routers.size()), listener));
                    }
                });
        up.await();
    }

    /** Asks for so long, and waits for the last answers. */
    Round play(double seconds) throws InterruptedException {
        Round now = new Round();
        CountDownLatch over = new CountDownLatch(1);
        loop.execute(
                () -> {
                    round = now;
                    long begin = System.nanoTime();
                    ask(begin, 0, (long) (seconds * perSecond), over);
                });
        over.await();
        return now;
    }

    private void ask(long begin, long count, long all, CountDownLatch over) {
        long at = count;
        while (at < all && begin + at * SECOND / perSecond <= System.nanoTime()) {
            askOnce(begin + at * SECOND / perSecond);
            at++;
        }
        long further = at;
        if (at < all) {
            loop.schedule(begin + at * SECOND / perSecond, () -> ask(begin, further, all, over));
        } else {
            loop.schedule(System.nanoTime() + SECOND, over::countDown);
        }
    }

    private void askOnce(long due) {
        for (int i = 0; i < clients.size(); i++) {
            AsyncClient client = clients.get(next++ % clients.size());
            if (client.isFree()) {
                client.read("a" + asked++, "k", WAITS_MS, due);
                return;
            }
        }
        round.noneFree++;
    }

    @Override
    public void close() throws InterruptedException {
        loop.close();
    }
}
