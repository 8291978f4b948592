package ironwind.net;

import io.vertx.core.Vertx;
import ironwind.model.Span;

/** One-shot timers of the event loop. */
final class Timers {
    private final Vertx vertx;

    Timers(Vertx vertx) {
        this.vertx = vertx;
    }

    /** A timer that runs; cancelling it later than that does nothing. */
    interface Timer {
        void cancel();
    }

    Timer after(Span span, Runnable action) {
        long id = vertx.setTimer(millis(span), timer -> action.run());
        return () -> vertx.cancelTimer(id);
    }

    /** Until the program ends. */
    void every(Span span, Runnable action) {
        vertx.setPeriodic(millis(span), timer -> action.run());
    }

    /** A time to come back after, as an error's detail tells it; null for none. */
    static String told(Span comeBackAfter) {
        return comeBackAfter.us() > 0 ? Long.toString(millis(comeBackAfter)) : null;
    }

    /** Whole milliseconds, rounded up, one at least. */
    static int millis(Span span) {
        return (int) Math.max(1, (span.us() + 999) / 1_000);
    }
}
