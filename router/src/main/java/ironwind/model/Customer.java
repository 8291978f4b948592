package ironwind.model;

/**
 * A customer and its quota.
 *
 * @param index position in the deployment's table of customers
 * @param quotaPerSecond agreed RPCs per second over all routers together, 0 for no quota
 */
public record Customer(int index, double quotaPerSecond) {}
