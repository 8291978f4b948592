package ironwind.lab;

import ironwind.lab.AsyncClient.Answer;
import ironwind.standin.EventLoop;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

/**
 * A process that holds many connections to routers. Commands come on standard input, a line each,
 * and each gets one line on standard output: {@code open N}, {@code wake MS}, {@code slow N BYTES},
 * {@code count}, {@code quit}.
 */
public final class ClientWorker {
    /** Coming up at one time. */
    private static final int AT_ONCE = 128;

    /** So many of one source address: each has its own ports. */
    private static final int OF_ONE_ADDRESS = 4_000;

    private static final int AHEAD = 8;

    /**
     * So many of the slow readers ask in a second: it is their not reading that is looked at, not
     * their asking.
     */
    private static final int SLOW_PER_SECOND = 200;

    private static final int SLOW_BUFFER = 4_096;
    private static final long SECOND = 1_000_000_000L;
    private static final long OPEN_WAITS_MS = 30_000;

    private final EventLoop loop = new EventLoop("crowd");
    private final List<InetSocketAddress> routers;
    private final int number;
    private final List<AsyncClient> clients = new ArrayList<>();
    private int asked;
    private int opened;

    private ClientWorker(int number, List<InetSocketAddress> routers) throws IOException {
        this.number = number;
        this.routers = routers;
    }

    /** Arguments: a number that tells crowds apart, then routers' ports. */
    public static void main(String[] args) throws IOException, InterruptedException {
        List<InetSocketAddress> routers = new ArrayList<>();
        for (int i = 1; i < args.length; i++) {
            routers.add(new InetSocketAddress("127.0.0.1", Integer.parseInt(args[i])));
        }
        ClientWorker crowd = new ClientWorker(Integer.parseInt(args[0]), routers);
        BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = in.readLine();
                line != null && !line.equals("quit");
                line = in.readLine()) {
            String[] words = line.split(" ");
            System.out.println(
                    switch (words[0]) {
                        case "open" -> crowd.open(Integer.parseInt(words[1]), true);
                        case "wake" -> crowd.wake(Long.parseLong(words[1]));
                        case "slow" -> crowd.slow(Integer.parseInt(words[1]), words[2]);
                        default -> crowd.count();
                    });
        }
    }

    private static String words(Map<Answer, Integer> answers, long nanos) {
        StringBuilder line = new StringBuilder();
        for (Answer answer : Answer.values()) {
            line.append(answer).append('=').append(answers.getOrDefault(answer, 0)).append(' ');
        }
        return line.append("ms=").append(nanos / 1_000_000).toString();
    }

    /** Opens more, each of which asks once, as one that plays does. */
    private String open(int more, boolean asks) throws InterruptedException {
        Map<Answer, Integer> answers = new EnumMap<>(Answer.class);
        CountDownLatch done = new CountDownLatch(more);
        long begun = System.nanoTime();
        int[] left = {more};
        AsyncClient.Listener listener =
                new AsyncClient.Listener() {
                    @Override
                    public void greeted(AsyncClient client) {
                        if (asks) {
                            client.read(id(), "k", OPEN_WAITS_MS, 0);
                        } else {
                            end(Answer.OK);
                        }
                    }

                    @Override
                    public void answered(AsyncClient client, Answer answer, long at) {
                        end(answer);
                    }

                    @Override
                    public void ended(AsyncClient client) {
                        end(Answer.CLOSED);
                    }

                    private void end(Answer answer) {
                        if (done.getCount() > 0) {
                            answers.merge(answer, 1, Integer::sum);
                            done.countDown();
                            if (left[0] > 0) {
                                left[0]--;
                                clients.add(connect(this, asks ? 0 : SLOW_BUFFER));
                            }
                        }
                    }
                };
        loop.execute(
                () -> {
                    for (int i = 0; i < AT_ONCE && left[0] > 0; i++) {
                        left[0]--;
                        clients.add(connect(listener, asks ? 0 : SLOW_BUFFER));
                    }
                });
        done.await();
        return words(answers, System.nanoTime() - begun);
    }

    private String id() {
        return "c" + number + "-" + asked++;
    }

    private AsyncClient connect(AsyncClient.Listener listener, int receiveBuffer) {
        int address = opened / OF_ONE_ADDRESS;
        InetSocketAddress from =
                new InetSocketAddress("127." + (16 + number) + ".0." + (1 + address), 0);
        return AsyncClient.connect(
                loop, from, routers.get(opened++ % routers.size()), listener, receiveBuffer);
    }

    /** All that are open ask at one time; ends when each is answered, or has been closed. */
    private String wake(long waitsMs) throws InterruptedException {
        Map<Answer, Integer> answers = new EnumMap<>(Answer.class);
        CountDownLatch posted = new CountDownLatch(1);
        CountDownLatch[] done = new CountDownLatch[1];
        long[] sentIn = {0};
        long begun = System.nanoTime();
        AsyncClient.Listener listener =
                (client, answer, at) -> {
                    answers.merge(answer, 1, Integer::sum);
                    done[0].countDown();
                };
        loop.execute(
                () -> {
                    List<AsyncClient> awake = clients.stream().filter(AsyncClient::isFree).toList();
                    done[0] = new CountDownLatch(awake.size());
                    for (AsyncClient client : awake) {
                        client.listenTo(listener);
                        client.read(id(), "k", waitsMs, 0);
                    }
                    sentIn[0] = System.nanoTime() - begun;
                    posted.countDown();
                });
        posted.await();
        done[0].await();
        return words(answers, System.nanoTime() - begun) + " sent_ms=" + sentIn[0] / 1_000_000;
    }

    /** New ones that ask for much, again and again, and read nothing of it. */
    private String slow(int more, String bytes) throws InterruptedException {
        String line = open(more, false);
        CountDownLatch posted = new CountDownLatch(1);
        loop.execute(
                () -> {
                    long now = System.nanoTime();
                    for (AsyncClient client :
                            clients.subList(clients.size() - more, clients.size())) {
                        now += SECOND / SLOW_PER_SECOND;
                        loop.schedule(
                                now,
                                () -> {
                                    if (client.isFree()) {
                                        client.listenTo((deaf, answer, at) -> {});
                                        client.readDeaf(id(), "big-" + bytes, OPEN_WAITS_MS, AHEAD);
                                    }
                                });
                    }
                    posted.countDown();
                });
        posted.await();
        return line;
    }

    private String count() throws InterruptedException {
        CountDownLatch counted = new CountDownLatch(1);
        long[] open = {0};
        loop.execute(
                () -> {
                    open[0] = clients.stream().filter(AsyncClient::isOpen).count();
                    counted.countDown();
                });
        counted.await();
        return "open=" + open[0];
    }
}
