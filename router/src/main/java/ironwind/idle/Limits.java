package ironwind.idle;

import ironwind.model.Span;

/**
 * The limits on client connections and their memory. A count or a rate of zero sets no limit; a
 * timeout of zero never expires. Each component is read from the setting of the block {@code idle}
 * that is named with it.
 *
 * @param maxConnections connections that may be open at a time; setting {@code connections}
 * @param maxPerAddress connections that one address may have; setting {@code per_address}
 * @param maxPerCustomer connections that one customer may have, counted from their first answered
 *     request on; setting {@code per_customer}
 * @param acceptRate connections accepted per second, while further ones wait in the listen backlog
 *     of the operating system; setting {@code new_per_second}
 * @param acceptBurst connections that may be accepted at once within that rate; setting {@code
 *     new_at_once}
 * @param startupTimeout for the start-up message; setting {@code startup_time}
 * @param messageTimeout for any other message to arrive completely, from its first byte; setting
 *     {@code message_time}
 * @param firstRequestTimeout from the end of the start-up to the first request; setting {@code
 *     greeted_time}
 * @param idleTimeout between two requests; setting {@code served_time}
 * @param crowdedIdleTimeout replaces {@code idleTimeout} while more than {@code crowdedFraction} of
 *     {@code maxConnections} are open; setting {@code crowded_time}
 * @param crowdedFraction 0 to 1; setting {@code crowded_part}
 * @param memoryBytes bytes of messages, statements and answers of all connections together; setting
 *     {@code memory}
 * @param maxUnsentPerClient bytes of unsent answers above which a client is not read from; setting
 *     {@code owed_each}
 * @param maxUnsentTotal bytes of unsent answers to all clients above which slow readers are closed;
 *     setting {@code owed_all}
 * @param slowReaderTimeout for a client to accept any part of its unsent answers; setting {@code
 *     slow_reader_time}
 * @param openRpcThreshold number of open RPCs from which on inactive connections are queued instead
 *     of read; setting {@code open_rpcs}
 * @param turnDuration how long queued connections are read before active ones are polled again;
 *     setting {@code turn_time}
 * @param maxQueueTime how long a connection may be queued before its RPC is pushed back instead of
 *     served; setting {@code crowd_time}
 * @param activeWindow a connection is active if it had an answer within this time; setting {@code
 *     active_time}
 * @param keepalive silence after which the operating system sends TCP keepalive probes, where zero
 *     means that it sends none; setting {@code keepalive}
 * @param sendBufferBytes size of a client socket's send buffer; 0 leaves it to the operating
 *     system, which may take megabytes for each client that does not read; setting {@code
 *     send_buffer}
 */
public record Limits(
        int maxConnections,
        int maxPerAddress,
        int maxPerCustomer,
        int acceptRate,
        int acceptBurst,
        Span startupTimeout,
        Span messageTimeout,
        Span firstRequestTimeout,
        Span idleTimeout,
        Span crowdedIdleTimeout,
        double crowdedFraction,
        long memoryBytes,
        long maxUnsentPerClient,
        long maxUnsentTotal,
        Span slowReaderTimeout,
        int openRpcThreshold,
        Span turnDuration,
        Span maxQueueTime,
        Span activeWindow,
        Span keepalive,
        long sendBufferBytes) {
    private static final long BYTES_PER_MEBIBYTE = 1 << 20;
    private static final Span DEFAULT_TIMEOUT = Span.ofMillis(2_000);

    /**
     * Room for one message and one answer, each with a value of the largest size that the protocol
     * specification (PROTOCOL) allows, written in hexadecimal.
     */
    private static final long TWO_MESSAGES_BYTES = 270_000;

    private static final double MEMORY_FRACTION = 1.0 / 6;
    private static final double UNSENT_FRACTION = 1.0 / 12;

    /** Part of the shortest deadline that a connection may spend in the read queue. */
    private static final double QUEUE_TIME_FRACTION = 0.25;

    private static final int OPEN_RPCS_PER_MEGABYTE = 16;

    /** Returns a copy with {@code maxConnections} lowered to {@code cap} if it is above it. */
    public Limits cappedAt(int cap) {
        return new Limits(
                Math.min(cap, maxConnections),
                maxPerAddress,
                maxPerCustomer,
                acceptRate,
                acceptBurst,
                startupTimeout,
                messageTimeout,
                firstRequestTimeout,
                idleTimeout,
                crowdedIdleTimeout,
                crowdedFraction,
                memoryBytes,
                maxUnsentPerClient,
                maxUnsentTotal,
                slowReaderTimeout,
                openRpcThreshold,
                turnDuration,
                maxQueueTime,
                activeWindow,
                keepalive,
                sendBufferBytes);
    }

    /**
     * Returns the defaults, derived from the router configuration. Connections that have made no
     * request within 2 s of the start-up are closed, and so are connections that are idle for 2 s
     * while more than half of {@code maxConnections} are open.
     *
     * @param connections how many connections may be open at a time
     * @param memoryMb memory of the router in MiB
     * @param shortestDeadline the shortest deadline of any method
     * @param longestDeadline the longest deadline of any method
     */
    public static Limits defaults(
            int connections, long memoryMb, Span shortestDeadline, Span longestDeadline) {
        long bytes = memoryMb * BYTES_PER_MEBIBYTE;
        return new Limits(
                connections,
                0,
                0,
                0,
                0,
                DEFAULT_TIMEOUT,
                DEFAULT_TIMEOUT,
                DEFAULT_TIMEOUT,
                Span.ZERO,
                DEFAULT_TIMEOUT,
                0.5,
                (long) (MEMORY_FRACTION * bytes),
                TWO_MESSAGES_BYTES,
                Math.max(2 * TWO_MESSAGES_BYTES, (long) (UNSENT_FRACTION * bytes)),
                DEFAULT_TIMEOUT.longer(longestDeadline),
                (int) (OPEN_RPCS_PER_MEGABYTE * memoryMb),
                Span.ofMillis(1),
                shortestDeadline.times(QUEUE_TIME_FRACTION),
                DEFAULT_TIMEOUT,
                Span.ZERO,
                0);
    }
}
