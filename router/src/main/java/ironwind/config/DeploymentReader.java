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

/**
 * Reads the settings that a router is started with, from either door, into the deployment's facts.
 */
public final class DeploymentReader {
    private static final Map<String, Idempotency> EFFECTS =
            Map.of(
                    "retryable",
                    Idempotency.IDEMPOTENT,
                    "dedup",
                    Idempotency.TOKENED,
                    "fragile",
                    Idempotency.NON_IDEMPOTENT);
    private static final Map<String, Consistency> LEVELS =
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
    private static final Map<String, StaleReadPolicy> CHECKS =
            Map.of(
                    "off",
                    StaleReadPolicy.SERVE,
                    "reject",
                    StaleReadPolicy.REJECT,
                    "hold",
                    StaleReadPolicy.REJECT);

    private DeploymentReader() {}

    public static Deployment read(PropertySource from) {
        List<String> levels = from.list("extra.read_level");
        List<String> bounds = from.list("extra.lag_allowed_us");
        List<Method> methods = new ArrayList<>();
        int count = from.needSmall("lanes.count");
        for (int i = 0; i < count; i++) {
            String at = "lanes." + i + ".";
            long deadline = from.needWhole(at + "deadline_us");
            long goal = from.whole(at + "goal_time_us", deadline);
            double worth = from.number(at + "worth", 1);
            String scope = from.text(at + "key_scope");
            methods.add(
                    new Method(
                            i,
                            pick(from, at + "effect", EFFECTS, from.need(at + "effect")),
                            i < levels.size()
                                    ? pick(from, "extra.read_level", LEVELS, levels.get(i))
                                    : Consistency.ANY,
                            new Span(
                                    i < bounds.size()
                                            ? from.parseWhole("extra.lag_allowed_us", bounds.get(i))
                                            : 0),
                            new Span(goal),
                            new Span(deadline),
                            worth,
                            worth * from.number(at + "late_worth", 0),
                            "all".equals(scope),
                            new Span(from.whole(at + "window_us", 0))));
        }
        List<Customer> customers = new ArrayList<>();
        for (int i = 0; i < from.small("tenants.count", 0); i++) {
            customers.add(new Customer(i, from.number("tenants." + i + ".quota_per_s", 0)));
        }
        String via = from.text("reporting.via");
        boolean reports = via != null && !via.equals("off");
        String checks = from.text("extra.when_behind");
        return new Deployment(
                methods,
                customers,
                Math.max(1, from.small("peers_total", 1)),
                new Span(from.whole("period_us", 0)),
                checks == null
                        ? StaleReadPolicy.SERVE
                        : pick(from, "extra.when_behind", CHECKS, checks),
                from.flag("caps.may_probe"),
                reports && from.list("reporting.fields").contains("x0"),
                "router".equals(from.text("extra.token_mode")),
                from.flag("caps.cancel"),
                from.flag("caps.parallel_tries"),
                from.small("caps.most_tries", 1),
                from.flag("caps.retry_after"),
                new Span(from.whole("caps.max_retry_after_us", 0)),
                from.number("prices.probe", 0),
                from.number("over_share_worth", 1),
                new Moment(from.whole("extra.zero_us", 0)),
                from.flag("rules.soft_removal"),
                from.number("rules.cold_from", 1),
                new Span(from.whole("rules.warm_after_us", 0)),
                from.number("rules.fall_multiple", 1),
                new Span(from.whole("rules.fall_us", 0)));
    }

    private static <T> T pick(PropertySource from, String key, Map<String, T> words, String word) {
        T value = words.get(word);
        if (value == null) {
            throw from.fault(key, "has an unknown word: " + word);
        }
        return value;
    }
}
