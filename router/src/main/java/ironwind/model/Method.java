package ironwind.model;

/** One method's facts: a row of the deployment's table of methods. */
public record Method(
        int index,
        Effect effect,
        Freshness freshness,
        Span bound,
        Span softDeadline,
        Span deadline,
        double utility,
        double lateUtility,
        boolean repeatsAnywhere,
        Span repeatWindow) {}
