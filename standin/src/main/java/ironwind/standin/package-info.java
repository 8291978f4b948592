/**
 * Stand-ins for the router's environment: database hosts, service discovery, and the event loop
 * that serves their sockets. They are written from the published protocols and use none of the
 * router's own I/O code, because a test double that shares code with the router would share its
 * faults. They do use its message codec, {@code ironwind.pg}, so a fault there may cancel out
 * between the two ends of a connection.
 */
package ironwind.standin;
