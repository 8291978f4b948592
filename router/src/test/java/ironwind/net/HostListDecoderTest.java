package ironwind.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.json.JsonObject;
import ironwind.config.Address;
import ironwind.config.NameIndex;
import ironwind.config.RouterConfig;
import ironwind.model.Host.DiscoveryState;
import ironwind.model.HostEntry;
import ironwind.model.Moment;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HostListDecoderTest {
    private static final String HOST =
            "{\"id\":\"s-%d\",\"addr\":\"10.1.0.18:5432\",\"zone\":\"north\",\"kind\":\"plain\",\"cell\":3,"
                    + "\"state\":\"Ready\",\"weight\":1.5,\"started_ms\":7,\"role\":\"primary\"%s}";

    private final HostListDecoder decoder = new HostListDecoder(names());

    private static NameIndex names() {
        JsonObject config =
                new JsonObject()
                        .put("name", "n1")
                        .put("listen", "127.0.0.1:0")
                        .put("discovery", "127.0.0.1:1")
                        .put("seed", "1")
                        .put("limits", new JsonObject().put("sockets", 256))
                        .put("settings", RouterFixture.SETTINGS)
                        .put("known", new JsonObject());
        return RouterConfig.read(config).names();
    }

    private HostListUpdate decode(String json) throws Exception {
        return decoder.decode(json.getBytes(StandardCharsets.UTF_8));
    }

    private static String list(String hosts) {
        return "{\"version\":41,\"full\":false,\"servers\":[" + hosts + "]}";
    }

    @Test
    void readsTheFieldsOfTheProtocolAndSkipsOthers() throws Exception {
        String unknown = ",\"x\":{\"a\":[1,{\"b\":null}]},\"y\":[[]],\"role\":\"primary\"";
        HostListUpdate update =
                decode(list(HOST.formatted(1, unknown) + " ,\n" + HOST.formatted(2, "")));
        assertThat(update.version()).isEqualTo(41);
        assertThat(update.complete()).isFalse();
        assertThat(update.entries()).hasSize(2);
        assertThat(update.entries().get(0))
                .isEqualTo(
                        new HostEntry(
                                "s-1",
                                0,
                                0,
                                3,
                                DiscoveryState.READY,
                                1.5,
                                Moment.ofMillis(7),
                                true));
        assertThat(update.addresses()).containsEntry("s-2", new Address("10.1.0.18", 5432));
    }

    /** Guards against lists of which a part is taken, and against unknown values. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "[]",
                "{\"version\":1}",
                "{\"servers\":[]}",
                "{\"version\":\"1\",\"servers\":[]}",
                "{\"version\":1,\"servers\":{}}",
                "{\"version\":1,\"servers\":[1]}",
                "{\"version\":1,\"servers\":[{}]}",
                "{\"version\":1,\"servers\":[]} x",
                "{\"version\":99999999999999999999,\"servers\":[]}",
                "{\"version\":1,\"servers\":[{\"id\":[],\"addr\":\"1.1.1.1:1\",\"state\":\"Ready\"}]}",
                "{\"version\":1,\"servers\":[{\"id\":\"a\",\"addr\":\"1.1.1.1:1\",\"state\":\"Odd\"}]}"
            })
    void malformedListsAreRejected(String json) {
        assertThatThrownBy(() -> decode(json)).isInstanceOf(Exception.class);
    }

    /** Guards against depth, time and memory that grow with what discovery wrote. */
    @Test
    void oversizedPartsAreRejectedOrSkipped() throws Exception {
        String deep = "[".repeat(900) + "]".repeat(900);
        assertThat(decode(list(HOST.formatted(1, ",\"x\":" + deep))).entries()).hasSize(1);
        String deeper = "[".repeat(200_000) + "]".repeat(200_000);
        assertThatThrownBy(() -> decode(list(HOST.formatted(1, ",\"x\":" + deeper))))
                .isInstanceOf(IOException.class);
        String longId = HOST.formatted(1, ",\"id\":\"" + "i".repeat(300) + "\"");
        assertThatThrownBy(() -> decode(list(longId))).isInstanceOf(IllegalArgumentException.class);
        assertThat(decode(list(hosts(HostListDecoder.MAX_HOSTS))).entries())
                .hasSize(HostListDecoder.MAX_HOSTS);
        String tooMany = hosts(HostListDecoder.MAX_HOSTS + 1);
        assertThatThrownBy(() -> decode(list(tooMany)))
                .isInstanceOf(IllegalArgumentException.class);
    }

    private static String hosts(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> HOST.formatted(i, ""))
                .collect(Collectors.joining(","));
    }
}
