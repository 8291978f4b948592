package ironwind.model;

/** A customer's agreed rate over all routers together; zero where none is agreed. */
public record Customer(int index, double quotaPerSecond) {}
