/**
 * Stand-ins for the router's environment: database hosts, service discovery, and the event loop
 * that serves their sockets. They are written from the published protocols and use none of the
 * router's own I/O code, because a test double that shares code with the router would share its
 * faults.
 */
package ironwind.standin;
