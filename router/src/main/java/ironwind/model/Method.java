package ironwind.model;

/**
 * Configuration of one RPC method.
 *
 * @param index position in the deployment's table of methods
 * @param idempotency whether an RPC may run more than once
 * @param consistency how recent the data must be that it is answered from
 * @param maxStaleness greatest age of the data, for {@link Consistency#BOUNDED}
 * @param softDeadline time after arrival until which an answer has full utility
 * @param deadline time after arrival until which an answer has any utility
 * @param utility value of an answer within the soft deadline
 * @param lateUtility value of an answer after it
 * @param globalTokenScope for {@link Idempotency#TOKENED}, whether every group recognizes a repeat;
 *     otherwise only the group that the RPC ran in
 * @param tokenWindow for {@link Idempotency#TOKENED}, how long repeats are recognized
 */
public record Method(
        int index,
        Idempotency idempotency,
        Consistency consistency,
        Span maxStaleness,
        Span softDeadline,
        Span deadline,
        double utility,
        double lateUtility,
        boolean globalTokenScope,
        Span tokenWindow) {}
