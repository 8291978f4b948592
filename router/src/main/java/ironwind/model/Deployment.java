package ironwind.model;

import java.util.List;

/** The facts a router is started with. */
public record Deployment(
        List<Method> methods,
        List<Customer> customers,
        int routers,
        Span tick,
        HostChecks hostChecks,
        boolean probesAllowed,
        boolean probesTellPosition,
        boolean sessionsRemembered,
        boolean cancelAllowed,
        boolean parallelCallOuts,
        int mostCallOuts,
        boolean backoffTold,
        Span longestBackoff,
        double probePrice,
        double overShareUtility,
        Moment positionZero,
        boolean onlyDrainingBinds,
        double coldShare,
        Span warmAfter,
        double fallMultiple,
        Span fallWindow) {

    /** What a host does with a read it is too far behind for. */
    public enum HostChecks {
        /** Answers from what it has. */
        NONE,
        /** Turns the read away untouched, at once or after waiting to catch up. */
        REFUSE
    }
}
