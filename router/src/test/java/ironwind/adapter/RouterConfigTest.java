package ironwind.adapter;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.json.JsonObject;
import ironwind.config.ConfigException;
import ironwind.config.DeploymentReader;
import ironwind.config.RouterConfig;
import ironwind.model.Span;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Router configuration from JSON, and the same settings from a line of the simulator. */
class RouterConfigTest {
    private static final String LINE =
            ("SPAWN caps.cancel=true caps.connect_timeout_us=250000 "
                            + "caps.idle_close_us=30000000 caps.most_tries=10 "
                            + "caps.parallel_tries=true extra.lag_allowed_us=300000,0 "
                            + "extra.read_level=recent,update "
                            + "extra.when_behind=reject lanes.count=2 lanes.0.deadline_us=1500000 "
                            + "lanes.0.effect=retryable "
                            + "lanes.0.goal_time_us=400000 lanes.0.late_worth=0.2 lanes.0.name=lobby "
                            + "lanes.0.worth=3.0 "
                            + "lanes.1.deadline_us=3000000 lanes.1.effect=dedup lanes.1.key_scope=cell "
                            + "lanes.1.name=move "
                            + "lanes.1.window_us=2000000 lanes.1.worth=6.0 peers_total=2 period_us=5000 "
                            + "prices.probe=0.01 "
                            + "reporting.fields=x0,util reporting.via=inline rules.cold_from=0.25 "
                            + "rules.fall_multiple=4.0 "
                            + "rules.soft_removal=true tenants.count=1 tenants.0.name=chess "
                            + "tenants.0.quota_per_s=102.0 "
                            + "kinds=std-4core zones=auckland,hamilton")
                    .replace(' ', '\t');
    private static final String JSON =
            """
        {"name": "n3", "listen": "127.0.0.4:5432", "discovery": "127.2.0.1:8500", "seed": "ffffffffffffffff",
         "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": {"version": 41, "servers": []},
         "settings": {
          "caps": {"cancel": true, "connect_timeout_us": 250000, "idle_close_us": 30000000, "most_tries": 10,
                   "parallel_tries": true},
          "extra": {"lag_allowed_us": [300000, 0], "read_level": ["recent", "update"], \
        "when_behind": "reject"},
          "lanes": [
           {"deadline_us": 1500000, "effect": "retryable", "goal_time_us": 400000.0, "late_worth": 0.2, \
        "name": "lobby",
            "worth": 3},
           {"deadline_us": 3000000, "effect": "dedup", "key_scope": "cell", "name": "move", \
        "window_us": 2000000,
            "worth": 6.0}],
          "peers_total": 2, "period_us": 5000, "prices": {"probe": 0.01},
          "reporting": {"fields": ["x0", "util"], "via": "inline"},
          "rules": {"answer_slack_us": 20000, "cold_from": 0.25, "fall_multiple": 4.0, "soft_removal": true},
          "tenants": [{"name": "chess", "quota_per_s": 102.0}],
          "kinds": ["std-4core"], "zones": ["auckland", "hamilton"], "news": null}}""";

    @Test
    void jsonAndSimulatorLineGiveEqualDeployments() {
        RouterConfig config = RouterConfig.read(new JsonObject(JSON));
        assertThat(config.deployment()).isEqualTo(DeploymentReader.read(new Line(LINE, 1)));
        assertThat(config.deployment().methods()).hasSize(2);
        assertThat(config.deployment().probesReportPosition()).isTrue();
        assertThat(config.names().methods().get("move").tokenWindow())
                .isEqualTo(Span.ofMillis(2_000));
        assertThat(config.names().customers().get("chess").quotaPerSecond()).isEqualTo(102);
        assertThat(config.names().zones()).containsExactly("auckland", "hamilton");
        assertThat(config.seed()).isEqualTo(-1);
        assertThat(config.listen()).hasToString("127.0.0.4:5432");
        assertThat(config.connectTimeout()).isEqualTo(Span.ofMillis(250));
    }

    @ParameterizedTest(name = "{0} -> {1}: {2}")
    @CsvSource(
            delimiter = '|',
            value = {
                "\"name\": \"n3\" | \"nome\": \"n3\" | configuration.name is missing",
                "127.0.0.4:5432 | 127.0.0.4 | '127.0.0.4' is not an address of the form ip:port",
                "ffffffffffffffff | seed | configuration.seed is not a 64-bit hexadecimal number",
                "\"known\" | \"unknown\" | configuration.known is missing",
                "retryable | risky | settings.lanes.0.effect has an unknown value: risky",
                "250000 | \"soon\" | settings.caps.connect_timeout_us is not a whole number: soon"
            })
    void missingOrMalformedValueIsReported(String from, String to, String message) {
        assertThatThrownBy(() -> RouterConfig.read(new JsonObject(JSON.replace(from, to))))
                .isInstanceOf(ConfigException.class)
                .hasMessage(message);
    }
}
