package ironwind.model;

import java.util.List;

/**
 * The configuration that a router is started with.
 *
 * @param methods the methods, by index
 * @param customers the customers, by index
 * @param routerCount number of routers that share the hosts, at least 1
 * @param tick clock period, used as safety margin before deadlines and the end of token windows
 * @param staleReadPolicy how hosts treat reads that they are too far behind for
 * @param probesAllowed whether hosts may be probed
 * @param probesReportPosition whether the answer to a probe contains the host's log position
 * @param sessionCommitsTracked whether the router itself remembers the last commit of each session;
 *     otherwise an RPC carries the position that it must see
 * @param cancellationAllowed whether call-outs can be cancelled
 * @param parallelCallOutsAllowed whether an RPC may have two call-outs in flight
 * @param maxCallOuts most call-outs of one RPC
 * @param retryAfterSupported whether a pushed-back answer may tell the client how long to wait
 * @param maxRetryAfter longest such wait
 * @param probeCost cost of one probe relative to one RPC
 * @param overQuotaUtilityFactor factor on the utility of RPCs over their customer's quota
 * @param positionEpoch the moment that reported log positions count from
 * @param onlyDrainingStopsSends whether only hosts that have been listed as draining are excluded;
 *     otherwise all hosts that aren't listed as ready are
 * @param coldStartShare share of a warm host's rate that a host may get right after its start
 * @param warmUpTime time from a host's start until that share has risen to 1
 * @param coldRateMultiple factor on the rate of a warm host, for the most that all routers together
 *     may send to a cold host
 * @param coldRateWindow window in which sends to a cold host are counted
 */
public record Deployment(
        List<Method> methods,
        List<Customer> customers,
        int routerCount,
        Span tick,
        StaleReadPolicy staleReadPolicy,
        boolean probesAllowed,
        boolean probesReportPosition,
        boolean sessionCommitsTracked,
        boolean cancellationAllowed,
        boolean parallelCallOutsAllowed,
        int maxCallOuts,
        boolean retryAfterSupported,
        Span maxRetryAfter,
        double probeCost,
        double overQuotaUtilityFactor,
        Moment positionEpoch,
        boolean onlyDrainingStopsSends,
        double coldStartShare,
        Span warmUpTime,
        double coldRateMultiple,
        Span coldRateWindow) {

    /** How a host treats a read that its log position is too old for. */
    public enum StaleReadPolicy {
        /** Answers with the data that it has. */
        SERVE,
        /** Rejects the read without running it, at once or after waiting to catch up. */
        REJECT
    }
}
