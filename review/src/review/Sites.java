package review;

/** Settings as a router's configuration holds them, with the figures of a site file. */
final class Sites {
    private Sites() {}

    /** A site of the kind boards-nz: a pushed list, roles in it, no load reports, parallel tries. */
    static String boardsNz(int routers) {
        return "{"
                + "\"kind_of_service\":\"replicas\",\"discovery\":\"push\",\"peers_total\":"
                + routers
                + ",\"me\":0,\"tier\":0,\"tiers\":\"game-db\",\"zone\":0,\"zones\":[\"here\"],"
                + "\"kinds\":[\"plain\"],\"period_us\":5000,\"weight_kind\":\"rough\","
                + "\"worth_by\":\"request\",\"over_share_worth\":0.1,"
                + "\"caps\":{\"cancel\":true,\"connect_timeout_us\":250000,"
                + "\"cpu_us_per_request\":0.0,\"cpu_us_per_s\":400000,\"idle_close_us\":30000000,"
                + "\"max_open\":20000,\"max_retry_after_us\":1000000,\"may_probe\":true,"
                + "\"most_tries\":10,\"parallel_tries\":true,\"peers\":false,\"retry_after\":true,"
                + "\"streams_per_conn\":1},"
                + "\"clients\":{\"marks_retry\":true},"
                + "\"extra\":{\"catch_up_wait_us\":0,\"commit_waits\":false,"
                + "\"lag_allowed_us\":[300000,0,0,0],\"list_role\":\"delayed\","
                + "\"progress_told\":true,"
                + "\"read_level\":[\"recent\",\"own_writes\",\"loose\",\"update\"],"
                + "\"token_mode\":\"client\",\"when_behind\":\"off\",\"zero_us\":0},"
                + "\"lanes\":["
                + lane("lobby-read", "retryable", 1500, 400, 3, 0.2, "all", 5000)
                + ","
                + lane("own-game-read", "retryable", 2000, 600, 2, 0, "all", 5000)
                + ","
                + lane("archive-read", "retryable", 1200, 500, 2, 0, "all", 5000)
                + ","
                + lane("move-write", "dedup", 3000, 1200, 6, 0.7, "cell", 2000)
                + "],"
                + "\"prices\":{\"probe\":0.01},"
                + "\"reporting\":{\"fields\":[],\"via\":\"off\"},"
                + "\"rules\":{\"answer_slack_us\":20000,\"cold_from\":0.25,"
                + "\"drain_grace_us\":500000,\"fall_multiple\":4.0,\"fall_us\":3000000,"
                + "\"must_ask_in_us\":10000000,\"warm_after_us\":17000000},"
                + "\"tenants\":["
                + tenant("chess-section", 0.49, 1020)
                + ","
                + tenant("go-section", 0.34, 710)
                + ","
                + tenant("schools-league", 0.17, 350)
                + "]}";
    }

    /** A site of the kind acervo-poa: reads see the writes that went through this router. */
    static String acervoPoa(int routers) {
        return "{"
                + "\"kind_of_service\":\"replicas\",\"discovery\":\"ask\",\"peers_total\":"
                + routers
                + ",\"me\":0,\"tier\":0,\"tiers\":\"banco-catalogo\",\"zone\":0,"
                + "\"zones\":[\"here\"],\"kinds\":[\"plain\"],\"period_us\":5000,"
                + "\"weight_kind\":\"off\",\"worth_by\":\"request\",\"over_share_worth\":0.2,"
                + "\"caps\":{\"cancel\":true,\"connect_timeout_us\":250000,"
                + "\"cpu_us_per_request\":0.0,\"cpu_us_per_s\":80000,\"idle_close_us\":15000000,"
                + "\"max_open\":20000,\"max_retry_after_us\":1000000,\"may_probe\":true,"
                + "\"most_tries\":10,\"parallel_tries\":false,\"peers\":false,"
                + "\"retry_after\":false,\"streams_per_conn\":8},"
                + "\"clients\":{\"marks_retry\":false},"
                + "\"extra\":{\"catch_up_wait_us\":0,\"commit_waits\":false,"
                + "\"lag_allowed_us\":[500000,0,0,0],\"list_role\":\"initial\","
                + "\"progress_told\":true,"
                + "\"read_level\":[\"recent\",\"own_writes\",\"loose\",\"update\"],"
                + "\"report_x0\":\"position_in_seconds_after_zero\","
                + "\"report_x1\":\"1_from_a_primary\","
                + "\"token_mode\":\"router\",\"when_behind\":\"off\",\"zero_us\":0},"
                + "\"lanes\":["
                + lane("busca-acervo", "retryable", 2500, 800, 3, 0, "all", 5000)
                + ","
                + lane("ver-proprio", "retryable", 1500, 400, 1, 0, "all", 5000)
                + ","
                + lane("relatorio-vendas", "retryable", 10000, 5000, 4, 0.2, "all", 5000)
                + ","
                + lane("gravar-foto", "dedup", 5000, 1000, 4, 0.7, "cell", 5000)
                + "],"
                + "\"prices\":{\"probe\":0.04},"
                + "\"reporting\":{\"fields\":[\"x0\",\"x1\",\"busy_reqs\",\"cpu_share\"],"
                + "\"via\":\"on_probe\"},"
                + "\"rules\":{\"answer_slack_us\":20000,\"cold_from\":0.24,"
                + "\"drain_grace_us\":1000000,\"fall_multiple\":3.0,\"fall_us\":2000000,"
                + "\"must_ask_in_us\":10000000,\"warm_after_us\":17000000},"
                + "\"tenants\":["
                + tenant("foto-pampa", 0.44, 1000)
                + ","
                + tenant("lente-sul", 0.35, 800)
                + ","
                + tenant("imagem-vale", 0.21, 500)
                + "]}";
    }

    private static String lane(
            String name,
            String effect,
            int deadlineMs,
            int goalMs,
            double worth,
            double lateWorth,
            String scope,
            int windowMs) {
        return "{\"deadline_us\":"
                + deadlineMs * 1000
                + ",\"effect\":\""
                + effect
                + "\",\"goal_time_us\":"
                + goalMs * 1000
                + ",\"key_scope\":\""
                + scope
                + "\",\"late_worth\":"
                + lateWorth
                + ",\"name\":\""
                + name
                + "\",\"streaming\":false,\"window_us\":"
                + windowMs * 1000
                + ",\"worth\":"
                + worth
                + "}";
    }

    private static String tenant(String name, double portion, double quota) {
        return "{\"name\":\"" + name + "\",\"portion\":" + portion + ",\"quota_per_s\":" + quota + "}";
    }
}
