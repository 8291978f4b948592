package ironwind.net;

import ironwind.model.Moment;
import java.time.Instant;

/** The system clock as a {@link Moment}: Unix time in microseconds. */
final class Clock {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private Clock() {}

    /**
     * Returns the time that has passed since some fixed moment. Unlike the system clock, it is
     * never set.
     */
    static Moment readMonotonic() {
        return new Moment(System.nanoTime() / 1_000);
    }

    /** Returns the current time. */
    static Moment read() {
        Instant now = Instant.now();
        return new Moment(now.getEpochSecond() * MICROS_PER_SECOND + now.getNano() / 1_000);
    }
}
