package ironwind.idle;

import ironwind.model.Span;

/**
 * The limits on client connections. A count or a rate of zero sets no limit; a time of zero means
 * for ever.
 *
 * @param connections most that are let in
 * @param perAddress most of one address
 * @param perCustomer most served ones of one customer
 * @param newPerSecond how many are let in a second; others wait in the system's queue
 * @param newAtOnce how many of these may come at one time
 * @param startupTime for a start-up message
 * @param messageTime for any other message once it has begun
 * @param greetedTime for a first request after the start-up
 * @param servedTime between two requests
 * @param crowdedTime the same, while more than {@code crowdedPart} of {@code connections} are taken
 * @param crowdedPart a part, 0 to 1
 * @param memory bytes of messages, statements, and answers, of all connections together
 * @param owedEach bytes owed to one client above which nothing more is read from it
 * @param owedAll bytes owed to all
 * @param slowReaderTime for a client to take something of what it is owed
 * @param openRpcs above so many open RPCs, those who were not active lately wait for their turn to
 *     be read
 * @param turnTime how long such may be read before the others are looked at again
 * @param crowdTime how long one waits for its turn before its RPC is pushed back instead of served
 * @param activeTime who was answered within this time is active
 * @param keepalive after so much silence the system asks whether the peer is there
 * @param sendBuffer bytes of answers that the system takes for one client; 0 leaves that to the
 *     system, which may take megabytes for each that does not read
 */
public record Limits(
        int connections,
        int perAddress,
        int perCustomer,
        int newPerSecond,
        int newAtOnce,
        Span startupTime,
        Span messageTime,
        Span greetedTime,
        Span servedTime,
        Span crowdedTime,
        double crowdedPart,
        long memory,
        long owedEach,
        long owedAll,
        Span slowReaderTime,
        int openRpcs,
        Span turnTime,
        Span crowdTime,
        Span activeTime,
        Span keepalive,
        long sendBuffer) {
    private static final long MEGABYTE = 1 << 20;
    private static final Span PATIENCE = Span.ofMillis(2_000);

    /** A message may have this many bytes, and an answer; see PROTOCOL's cap on values. */
    private static final long TWO_MESSAGES = 270_000;

    private static final double MEMORY_PART = 1.0 / 6;
    private static final double OWED_PART = 1.0 / 12;
    private static final double CROWD_PART = 0.25;
    private static final int RPCS_A_MEGABYTE = 16;

    /** The same, but for no more connections than so many. */
    public Limits atMost(int most) {
        return new Limits(
                Math.min(most, connections),
                perAddress,
                perCustomer,
                newPerSecond,
                newAtOnce,
                startupTime,
                messageTime,
                greetedTime,
                servedTime,
                crowdedTime,
                crowdedPart,
                memory,
                owedEach,
                owedAll,
                slowReaderTime,
                openRpcs,
                turnTime,
                crowdTime,
                activeTime,
                keepalive,
                sendBuffer);
    }

    /**
     * What holds where nothing else is said, from the facts of the start: connections that have
     * asked nothing for 2 s are closed, as are served ones while more than half of the room is
     * taken.
     *
     * @param shortest of the methods' deadlines; {@code longest} likewise
     */
    public static Limits of(int connections, long memoryMb, Span shortest, Span longest) {
        long bytes = memoryMb * MEGABYTE;
        return new Limits(
                connections,
                0,
                0,
                0,
                0,
                PATIENCE,
                PATIENCE,
                PATIENCE,
                Span.ZERO,
                PATIENCE,
                0.5,
                (long) (MEMORY_PART * bytes),
                TWO_MESSAGES,
                Math.max(2 * TWO_MESSAGES, (long) (OWED_PART * bytes)),
                PATIENCE.longer(longest),
                (int) (RPCS_A_MEGABYTE * memoryMb),
                Span.ofMillis(1),
                shortest.times(CROWD_PART),
                PATIENCE,
                Span.ZERO,
                0);
    }
}
