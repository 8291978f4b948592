/**
 * Types and state without decisions. What {@link ironwind.model.Inbound} brings in, what {@link
 * ironwind.model.Outbound} takes out, the facts read at start, and plain state holders whose fields
 * the decision module alone writes.
 */
package ironwind.model;
