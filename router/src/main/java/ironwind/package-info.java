/**
 * The decision logic of a router, {@link ironwind.Logic}. It does no I/O; its events, actions and
 * state are in {@link ironwind.model}.
 */
package ironwind;
