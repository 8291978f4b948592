package rig;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** The settings of a small deployment, with the names and units of the wire page. */
final class Settings {
    private record Lane(String name, String effect, String readLevel, long lagAllowedUs,
            long deadlineMs, long goalMs, long windowMs) {
        private String json() {
            return "{\"name\":\"" + name + "\",\"effect\":\"" + effect
                    + "\",\"key_scope\":\"" + (effect.equals("dedup") ? "cell" : "all")
                    + "\",\"deadline_us\":" + deadlineMs * 1_000 + ",\"goal_time_us\":"
                    + goalMs * 1_000 + ",\"late_worth\":0.2,\"streaming\":false,\"window_us\":"
                    + windowMs * 1_000 + ",\"worth\":3.0}";
        }
    }

    private final List<Lane> lanes = new ArrayList<>();
    private final Map<String, String> extra = new LinkedHashMap<>();
    private final Map<String, String> caps = new LinkedHashMap<>();
    private final Map<String, String> rules = new LinkedHashMap<>();
    private String probePrice = "0.01";
    private String reports = "{\"fields\":[],\"via\":\"off\"}";

    Settings() {
        extra.put("catch_up_wait_us", "0");
        extra.put("commit_waits", "false");
        extra.put("list_role", "\"delayed\"");
        extra.put("progress_told", "true");
        extra.put("token_mode", "\"client\"");
        extra.put("when_behind", "\"off\"");
        extra.put("zero_us", "0");
        caps.put("cancel", "true");
        caps.put("connect_timeout_us", "250000");
        caps.put("idle_close_us", "30000000");
        caps.put("max_open", "20000");
        caps.put("max_retry_after_us", "1000000");
        caps.put("may_probe", "true");
        caps.put("most_tries", "10");
        caps.put("parallel_tries", "true");
        caps.put("peers", "false");
        caps.put("retry_after", "true");
        caps.put("streams_per_conn", "1");
        rules.put("answer_slack_us", "20000");
        rules.put("cold_from", "0.25");
        rules.put("drain_grace_us", "500000");
        rules.put("fall_multiple", "4.0");
        rules.put("fall_us", "3000000");
        rules.put("must_ask_in_us", "10000000");
        rules.put("warm_after_us", "17000000");
    }

    /** Returns settings like those of boards-nz. */
    static Settings boards() {
        return new Settings().read("lobby-read", "recent", 300, 1_500, 400)
                .read("own-game-read", "own_writes", 0, 2_000, 600)
                .read("archive-read", "loose", 0, 1_200, 500)
                .write("move-write", "dedup", 3_000, 1_200, 2_000);
    }

    /** Returns settings like those of acervo-poa. */
    static Settings acervo() {
        Settings settings = new Settings().read("busca-acervo", "recent", 500, 2_500, 800)
                .read("ver-proprio", "own_writes", 0, 1_500, 400)
                .read("relatorio-vendas", "loose", 0, 10_000, 5_000)
                .write("gravar-foto", "dedup", 5_000, 1_000, 5_000)
                .extra("list_role", "\"initial\"").extra("token_mode", "\"router\"")
                .cap("parallel_tries", "false").cap("retry_after", "false");
        settings.rules.put("drain_grace_us", "1000000");
        settings.rules.put("cold_from", "0.24");
        settings.rules.put("fall_multiple", "3.0");
        settings.rules.put("fall_us", "2000000");
        settings.probePrice = "0.04";
        settings.reports = "{\"fields\":[\"x0\",\"x1\",\"busy_reqs\",\"cpu_share\"],"
                + "\"via\":\"on_probe\"}";
        return settings;
    }

    /** Returns settings like those of wgtn-games. */
    static Settings wgtn() {
        Settings settings = new Settings().read("board-view", "recent", 800, 1_500, 500)
                .read("own-games", "own_writes", 0, 2_000, 750)
                .write("move-submit", "fragile", 3_000, 500, 5_000)
                .extra("when_behind", "\"reject\"").cap("most_tries", "8");
        settings.rules.put("cold_from", "0.29");
        settings.rules.put("fall_multiple", "2.5");
        settings.rules.put("fall_us", "1500000");
        settings.reports = "{\"fields\":[\"x0\",\"x1\",\"cpu_share\"],"
                + "\"via\":\"on_probe\"}";
        return settings;
    }

    /** Adds a method that only reads, and may run again. */
    Settings read(String name, String readLevel, long lagAllowedMs, long deadlineMs, long goalMs) {
        lanes.add(new Lane(name, "retryable", readLevel, lagAllowedMs * 1_000, deadlineMs, goalMs,
                5_000));
        return this;
    }

    /** Adds a method that writes. */
    Settings write(String name, String effect, long deadlineMs, long goalMs, long windowMs) {
        lanes.add(new Lane(name, effect, "update", 0, deadlineMs, goalMs, windowMs));
        return this;
    }

    Settings extra(String name, String value) {
        extra.put(name, value);
        return this;
    }

    Settings cap(String name, String value) {
        caps.put(name, value);
        return this;
    }

    /** Returns the configuration of a router, which knows the list that discovery has now. */
    String config(int port, DiscoveryStandIn discovery) {
        return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port
                + "\",\"discovery\":\"127.0.0.1:" + discovery.port()
                + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":"
                + discovery.fullList() + ",\"settings\":{\"period_us\":5000,\"peers_total\":2,"
                + "\"me\":0,\"zone\":0,\"zones\":[\"a\"],\"kinds\":[\"m1\"],\"tenants\":[],"
                + "\"discovery\":\"push\",\"kind_of_service\":\"replicas\",\"weight_kind\":"
                + "\"rough\",\"clients\":{\"marks_retry\":true},\"over_share_worth\":0.1,"
                + "\"reporting\":" + reports + ",\"prices\":{\"probe\":" + probePrice + ","
                + "\"waste\":0.08,\"late_fail\":0.08,\"cross_zone\":0.031},\"extra\":{"
                + pairs(extra) + ",\"lag_allowed_us\":["
                + join(lanes, lane -> Long.toString(lane.lagAllowedUs())) + "],\"read_level\":["
                + join(lanes, lane -> "\"" + lane.readLevel() + "\"") + "]},\"caps\":{"
                + pairs(caps) + "},\"rules\":{" + pairs(rules) + "},\"lanes\":["
                + join(lanes, Lane::json) + "]}}";
    }

    private static String pairs(Map<String, String> values) {
        return values.entrySet().stream()
                .map(entry -> "\"" + entry.getKey() + "\":" + entry.getValue())
                .collect(Collectors.joining(","));
    }

    private static String join(List<Lane> lanes,
            java.util.function.Function<Lane, String> text) {
        return lanes.stream().map(text).collect(Collectors.joining(","));
    }
}
