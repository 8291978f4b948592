/**
 * Data types and state of the decision logic, without decisions. {@link ironwind.model.Inbound} is
 * the interface for events, {@link ironwind.model.Outbound} the one for requested actions. The
 * remaining types are the configuration and mutable state that, unless a field says otherwise, only
 * the decision logic writes.
 */
package ironwind.model;
