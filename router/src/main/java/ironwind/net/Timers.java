package ironwind.net;

import io.netty.channel.IoEventLoop;
import ironwind.model.Span;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Timers and turns of the event loop, with nothing above it; what an action throws is told, and the
 * loop goes on.
 */
final class Timers {
    private final IoEventLoop loop;
    private final Consumer<Throwable> uncaught;

    Timers(IoEventLoop loop, Consumer<Throwable> uncaught) {
        this.loop = loop;
        this.uncaught = uncaught;
    }

    /** A timer that runs; cancelling it later than that does nothing. */
    interface Timer {
        void cancel();
    }

    Timer schedule(Span span, Runnable action) {
        Future<?> timer =
                loop.schedule(guarded(action), Math.max(0, span.us()), TimeUnit.MICROSECONDS);
        return () -> timer.cancel(false);
    }

    /** Until the program ends. */
    void scheduleAtFixedRate(Span span, Runnable action) {
        loop.scheduleAtFixedRate(guarded(action), span.us(), span.us(), TimeUnit.MICROSECONDS);
    }

    /** Once the loop has done what it is at. */
    void execute(Runnable action) {
        loop.execute(guarded(action));
    }

    private Runnable guarded(Runnable action) {
        return () -> {
            try {
                action.run();
            } catch (RuntimeException fault) {
                uncaught.accept(fault);
            }
        };
    }

    /** A time to come back after, as an error's detail tells it; null for none. */
    static String formatRetryAfter(Span comeBackAfter) {
        return comeBackAfter.us() > 0 ? Long.toString(millis(comeBackAfter)) : null;
    }

    /** Whole milliseconds, rounded up, one at least. */
    static int millis(Span span) {
        return (int) Math.max(1, (span.us() + 999) / 1_000);
    }
}
