package ironwind.net;

import ironwind.model.Moment;
import java.time.Instant;

/** Unix time in microseconds. */
final class Clock {
    private static final long MILLION = 1_000_000;

    private Clock() {}

    static Moment read() {
        Instant now = Instant.now();
        return new Moment(now.getEpochSecond() * MILLION + now.getNano() / 1_000);
    }
}
