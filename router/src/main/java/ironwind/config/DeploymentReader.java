package ironwind.config;

import ironwind.model.Consistency;
import ironwind.model.Customer;
import ironwind.model.Deployment;
import ironwind.model.Deployment.StaleReadPolicy;
import ironwind.model.Idempotency;
import ironwind.model.Method;
import ironwind.model.Moment;
import ironwind.model.Span;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Reads a {@link Deployment} from a router's settings, given as JSON or as a simulator's line. */
public final class DeploymentReader {
    private static final Map<String, Idempotency> EFFECTS =
            Map.of(
                    "retryable",
                    Idempotency.IDEMPOTENT,
                    "dedup",
                    Idempotency.TOKENED,
                    "fragile",
                    Idempotency.NON_IDEMPOTENT);
    private static final Map<String, Consistency> CONSISTENCIES =
            Map.of(
                    "update",
                    Consistency.WRITE,
                    "latest",
                    Consistency.STRONG,
                    "own_writes",
                    Consistency.SESSION,
                    "recent",
                    Consistency.BOUNDED,
                    "loose",
                    Consistency.ANY);
    private static final Map<String, StaleReadPolicy> STALE_READ_POLICIES =
            Map.of(
                    "off",
                    StaleReadPolicy.SERVE,
                    "reject",
                    StaleReadPolicy.REJECT,
                    "hold",
                    StaleReadPolicy.REJECT);

    private DeploymentReader() {}

    /**
     * Reads a deployment; optional settings that are absent take their default.
     *
     * @throws RuntimeException from {@link PropertySource#error} if a setting is missing or
     *     malformed
     */
    public static Deployment read(PropertySource settings) {
        List<String> consistencies = settings.getList("extra.read_level");
        List<String> lagBounds = settings.getList("extra.lag_allowed_us");
        List<Method> methods = new ArrayList<>();
        int count = settings.requireInt("lanes.count");
        for (int i = 0; i < count; i++) {
            String prefix = "lanes." + i + ".";
            long deadline = settings.requireLong(prefix + "deadline_us");
            long softDeadline = settings.getLong(prefix + "goal_time_us", deadline);
            double utility = settings.getDouble(prefix + "worth", 1);
            String keyScope = settings.getString(prefix + "key_scope");
            methods.add(
                    new Method(
                            i,
                            lookUp(
                                    settings,
                                    prefix + "effect",
                                    EFFECTS,
                                    settings.requireString(prefix + "effect")),
                            i < consistencies.size()
                                    ? lookUp(
                                            settings,
                                            "extra.read_level",
                                            CONSISTENCIES,
                                            consistencies.get(i))
                                    : Consistency.ANY,
                            new Span(
                                    i < lagBounds.size()
                                            ? settings.parseLong(
                                                    "extra.lag_allowed_us", lagBounds.get(i))
                                            : 0),
                            new Span(softDeadline),
                            new Span(deadline),
                            utility,
                            utility * settings.getDouble(prefix + "late_worth", 0),
                            "all".equals(keyScope),
                            new Span(settings.getLong(prefix + "window_us", 0))));
        }
        List<Customer> customers = new ArrayList<>();
        for (int i = 0; i < settings.getInt("tenants.count", 0); i++) {
            customers.add(new Customer(i, settings.getDouble("tenants." + i + ".quota_per_s", 0)));
        }
        String reportChannel = settings.getString("reporting.via");
        boolean reportsEnabled = reportChannel != null && !reportChannel.equals("off");
        String staleReadPolicy = settings.getString("extra.when_behind");
        return new Deployment(
                methods,
                customers,
                Math.max(1, settings.getInt("peers_total", 1)),
                new Span(settings.getLong("period_us", 0)),
                staleReadPolicy == null
                        ? StaleReadPolicy.SERVE
                        : lookUp(
                                settings,
                                "extra.when_behind",
                                STALE_READ_POLICIES,
                                staleReadPolicy),
                settings.getBoolean("caps.may_probe"),
                reportsEnabled && settings.getList("reporting.fields").contains("x0"),
                "router".equals(settings.getString("extra.token_mode")),
                settings.getBoolean("caps.cancel"),
                settings.getBoolean("caps.parallel_tries"),
                settings.getInt("caps.most_tries", 1),
                settings.getBoolean("caps.retry_after"),
                new Span(settings.getLong("caps.max_retry_after_us", 0)),
                settings.getDouble("prices.probe", 0),
                settings.getDouble("over_share_worth", 1),
                new Moment(settings.getLong("extra.zero_us", 0)),
                settings.getBoolean("rules.soft_removal"),
                settings.getDouble("rules.cold_from", 1),
                new Span(settings.getLong("rules.warm_after_us", 0)),
                settings.getDouble("rules.fall_multiple", 1),
                new Span(settings.getLong("rules.fall_us", 0)));
    }

    private static <T> T lookUp(
            PropertySource settings, String key, Map<String, T> values, String name) {
        T value = values.get(name);
        if (value == null) {
            throw settings.error(key, "has an unknown value: " + name);
        }
        return value;
    }
}
