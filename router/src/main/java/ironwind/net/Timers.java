package ironwind.net;

import io.netty.channel.IoEventLoop;
import ironwind.model.Span;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Schedules actions on the event loop directly, without Vert.x. An exception that an action throws
 * is passed to a handler and does not stop the loop.
 */
final class Timers {
    private final IoEventLoop loop;
    private final Consumer<Throwable> exceptionHandler;

    Timers(IoEventLoop loop, Consumer<Throwable> exceptionHandler) {
        this.loop = loop;
        this.exceptionHandler = exceptionHandler;
    }

    /** Reports an unexpected exception of an action that was not scheduled here. */
    void reportFault(RuntimeException fault) {
        exceptionHandler.accept(fault);
    }

    /** A scheduled action. */
    interface Timer {
        /** Cancels the action; does nothing if it has run. */
        void cancel();
    }

    /** Runs an action once after a delay, at once if the delay is negative. */
    Timer schedule(Span delay, Runnable action) {
        Future<?> timer =
                loop.schedule(guarded(action), Math.max(0, delay.us()), TimeUnit.MICROSECONDS);
        return () -> timer.cancel(false);
    }

    /** Runs an action periodically until the event loop ends. */
    void scheduleAtFixedRate(Span period, Runnable action) {
        loop.scheduleAtFixedRate(guarded(action), period.us(), period.us(), TimeUnit.MICROSECONDS);
    }

    /**
     * Runs an action on the loop after the sockets that are ready now have been handled, and never
     * in the same pass of the loop as the current action. Work that is done in parts yields between
     * them with this: the loop runs actions of {@link #execute} one after another, also those that
     * they add, for up to a second before it polls sockets again.
     */
    void executeAfterPoll(Runnable action) {
        loop.schedule(guarded(action), 1, TimeUnit.MICROSECONDS);
    }

    /** Runs an action on the loop after the current one, before sockets are polled again. */
    void execute(Runnable action) {
        loop.execute(guarded(action));
    }

    /** Wraps an action so that its exceptions go to the handler. */
    private Runnable guarded(Runnable action) {
        return () -> {
            try {
                action.run();
            } catch (RuntimeException e) {
                exceptionHandler.accept(e);
            }
        };
    }

    /**
     * Returns a retry delay in milliseconds, as an error's detail contains it; null if it is zero.
     */
    static String formatRetryAfter(Span retryAfter) {
        return retryAfter.us() > 0 ? Long.toString(toMillis(retryAfter)) : null;
    }

    /** Returns a span in whole milliseconds, rounded up, at least 1. */
    static int toMillis(Span span) {
        return (int) Math.max(1, (span.us() + 999) / 1_000);
    }
}
