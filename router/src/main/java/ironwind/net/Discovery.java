package ironwind.net;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpResponseExpectation;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import ironwind.config.Address;
import ironwind.config.ConfigException;
import ironwind.config.RouterConfig;
import ironwind.net.Counters.Count;
import java.io.IOException;

/**
 * Watches the discovery service with long polling, and passes its updates to the {@link LogicTask}.
 */
final class Discovery {
    private static final String PATH = "/registry/instances";

    /** Fraction of the router's memory that an answer may take. */
    private static final double MAX_BODY_FRACTION = 1.0 / 32;

    private static final int BYTES_PER_MEBIBYTE = 1 << 20;

    /** How long a poll waits for an update; the protocol specification allows up to a minute. */
    private static final long POLL_WAIT_MS = 5_000;

    /**
     * Time for the whole list. By the protocol specification, a change counts as told 6 s after the
     * service had it, so a list that is late is of use until then; the rest is for another call.
     */
    private static final long LIST_TIMEOUT_MS = 5_000;

    /**
     * Time for an answer beyond the wait: by the protocol specification, an update counts as
     * delivered this long after the wait.
     */
    private static final long RESPONSE_TIMEOUT_MS = 2_000;

    /** By the protocol specification, a watch continues if the next poll comes within 200 ms. */
    private static final long RETRY_DELAY_MS = 100;

    private final Vertx vertx;
    private HttpClientAgent client;
    private Address address;
    private final HostListDecoder decoder;
    private final int maxBodyBytes;
    private final LogicTask logicTask;
    private final HostConnectionPool pool;
    private final Counters counters;
    private final Log log;
    private long version = -1;
    private boolean stopped;
    private boolean failing;
    private Runnable onFirstAnswer = () -> {};

    /** Creates a watch that {@link #start} begins. */
    Discovery(
            Vertx vertx,
            RouterConfig config,
            LogicTask logicTask,
            HostConnectionPool pool,
            Counters counters,
            Log log) {
        this.vertx = vertx;
        this.address = config.discovery();
        this.decoder = new HostListDecoder(config.names());
        this.maxBodyBytes = (int) (MAX_BODY_FRACTION * config.memoryMb() * BYTES_PER_MEBIBYTE);
        this.logicTask = logicTask;
        this.pool = pool;
        this.counters = counters;
        this.log = log;
        this.client = newClient();
    }

    private HttpClientAgent newClient() {
        return vertx.createHttpClient(
                new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(1));
    }

    /**
     * Applies the initial host list and starts polling.
     *
     * @param initialHostList a list as the discovery service would send it
     * @throws ConfigException if that list is malformed
     * @param firstAnswer runs once, after the first valid answer of the service
     */
    void start(JsonObject initialHostList, Runnable firstAnswer) {
        try {
            apply(initialHostList.toBuffer().getBytes());
        } catch (IOException e) {
            throw new ConfigException("configuration.known is malformed: " + e.getMessage());
        }
        version = -1;
        onFirstAnswer = firstAnswer;
        poll();
    }

    /**
     * Switches to another address: drops the current watch, including answers that are still in
     * flight, and requests a full list there. Does nothing if the address is the same.
     */
    void switchTo(Address next) {
        if (!stopped && !next.equals(address)) {
            HttpClientAgent previous = client;
            address = next;
            client = newClient();
            version = -1;
            poll();
            previous.close();
        }
    }

    private void poll() {
        if (stopped) {
            return;
        }
        HttpClientAgent pollClient = client;
        boolean watch = version >= 0;
        String uri = watch ? PATH + "?after=" + version + "&wait_ms=" + POLL_WAIT_MS : PATH;
        Promise<Buffer> answer = Promise.promise();
        long timer =
                vertx.setTimer(
                        watch ? POLL_WAIT_MS + RESPONSE_TIMEOUT_MS : LIST_TIMEOUT_MS,
                        expired -> onSilence(pollClient, answer));
        pollClient
                .request(
                        new RequestOptions()
                                .setMethod(HttpMethod.GET)
                                .setHost(address.ip())
                                .setPort(address.port())
                                .setURI(uri)
                                .setConnectTimeout(RESPONSE_TIMEOUT_MS))
                .compose(request -> request.send().expecting(HttpResponseExpectation.SC_OK))
                .compose(this::readBody)
                .onSuccess(answer::tryComplete)
                .onFailure(answer::tryFail);
        answer.future()
                .onComplete(
                        body -> {
                            vertx.cancelTimer(timer);
                            if (body.succeeded()) {
                                onResponse(pollClient, body.result());
                            } else {
                                onFailure(pollClient, body.cause());
                            }
                        });
    }

    /**
     * Gives up a call whose answer is not complete in time, whichever part of it is missing, with
     * its connection: the next call opens another.
     */
    private void onSilence(HttpClientAgent pollClient, Promise<Buffer> answer) {
        if (pollClient == client && !stopped) {
            client = newClient();
            if (!failing) {
                log.warn("discovery_failed", "cause", "no complete answer in time");
                failing = true;
            }
            poll();
        }
        answer.tryFail("no complete answer in time");
        pollClient.close();
    }

    /** Reads a body; one that is too large fails, and its connection is closed. */
    private Future<Buffer> readBody(HttpClientResponse response) {
        Promise<Buffer> body = Promise.promise();
        Buffer received = Buffer.buffer();
        response.handler(
                chunk -> {
                    if (received.length() + chunk.length() <= maxBodyBytes) {
                        received.appendBuffer(chunk);
                    } else if (body.tryFail("the list is larger than " + maxBodyBytes + " bytes")) {
                        response.request().reset();
                    }
                });
        response.endHandler(end -> body.tryComplete(received));
        response.exceptionHandler(body::tryFail);
        return body.future();
    }

    private void onResponse(HttpClientAgent pollClient, Buffer body) {
        if (pollClient != client) {
            return;
        }
        try {
            apply(body.getBytes());
        } catch (IOException | RuntimeException malformed) {
            onFailure(pollClient, malformed);
            return;
        }
        if (failing) {
            log.info("discovery_back", "version", version);
            failing = false;
        }
        onFirstAnswer.run();
        onFirstAnswer = () -> {};
        poll();
    }

    private void onFailure(HttpClientAgent pollClient, Throwable cause) {
        if (pollClient != client || stopped) {
            return;
        }
        if (!failing) {
            log.warn("discovery_failed", "cause", cause);
            failing = true;
        }
        vertx.setTimer(
                RETRY_DELAY_MS,
                timer -> {
                    if (pollClient == client) {
                        poll();
                    }
                });
    }

    /**
     * Applies an answer after all of it has been decoded, so that a malformed one has no effect.
     */
    private void apply(byte[] answer) throws IOException {
        HostListUpdate update = decoder.decode(answer);
        version = update.version();
        if (update.complete() || !update.entries().isEmpty()) {
            counters.add(Count.DISCOVERY_UPDATES);
            logicTask.onDiscoveryUpdate(
                    update.complete(),
                    update.entries(),
                    () -> update.addresses().forEach(pool::setAddress));
        }
    }

    /** Ends the watch. */
    void stop() {
        stopped = true;
        client.close();
    }
}
