package ironwind.model;

/**
 * An exponentially smoothed value and the time of its last sample. Plain state; the decision logic
 * computes the weights.
 */
public final class MovingAverage {
    /** The smoothed value. */
    public double value;

    /** Time of the last sample; {@link Moment#NEVER} before the first. */
    public Moment updatedAt = Moment.NEVER;

    /** Creates an average with an initial value and no samples. */
    public MovingAverage(double value) {
        this.value = value;
    }
}
