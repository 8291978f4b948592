package ironwind.model;

/** A smoothed figure, and when it last had a sample. State only. */
public final class Mean {
    public double value;
    public Moment heard = Moment.NEVER;

    public Mean(double value) {
        this.value = value;
    }
}
