package ironwind.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.json.JsonObject;
import ironwind.config.RouterConfig;
import ironwind.pg.Encoder;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Hundreds of clients whose input takes memory before it is answered. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class InputMemoryTest extends RouterFixture {
    private static final int CLIENTS = 200;
    private static final int LARGE_STATEMENT_BYTES = 120_000;
    private static final int MEMORY_MB = 24;

    private PgConnection startRouterWithLittleMemory() throws Exception {
        JsonObject limits = new JsonObject().put("sockets", 1_024).put("memory_mb", MEMORY_MB);
        config = RouterConfig.read(configJson(discovery).put("limits", limits));
        discoveryResponses.add(hostListJson());
        startRouter(new Router(config, new Log(new PrintStream(logOutput, true))).withoutWarmup());
        return connectClient();
    }

    private List<PgConnection> connectAndSend(byte[] bytes) throws Exception {
        List<PgConnection> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            PgConnection client = connectClient();
            executor.submit(
                    () -> {
                        client.send(bytes);
                        return null;
                    });
            clients.add(client);
        }
        return clients;
    }

    /**
     * Guards against half messages of some clients that leave no memory for the requests of others.
     */
    @Test
    void clientsThatStopHalfWayThroughALargeRequestLeaveMemoryForOthers() throws Exception {
        PgConnection other = startRouterWithLittleMemory();
        assertReadSucceeds(other);
        byte[] write = request(WRITE_TEMPLATE + " -- " + "x".repeat(LARGE_STATEMENT_BYTES), 1_900);
        connectAndSend(Arrays.copyOf(write, write.length / 2));
        while (memory(other, "incoming") < (MEMORY_MB << 20) / 6 / 3) {
            Thread.sleep(5);
        }
        for (int i = 0; i < 20; i++) {
            assertReadSucceeds(other);
        }
        assertThat(memory(other, "highest")).isLessThanOrEqualTo(memory(other, "limit"));
    }

    /** Guards against short fields whose objects take many times the memory of their bytes. */
    @Test
    void commentsOfVeryManyFieldsAreRejectedBeforeTheyTakeMemory() throws Exception {
        PgConnection other = startRouterWithLittleMemory();
        String fields =
                IntStream.range(0, 15_000)
                        .mapToObj(i -> "z" + i + "=1")
                        .collect(Collectors.joining(","));
        primary.actions = new String[] {"no response"};
        replica.actions = primary.actions;
        byte[] read = Encoder.queryMessage("/* id=1,c=read,d=1900,cluster=2," + fields + " */ '");
        for (PgConnection client : connectAndSend(read)) {
            assertThat(client.readResponse()).matches("E5(4000|3200).*");
        }
        assertThat(memory(other, "open")).isZero();
    }
}
