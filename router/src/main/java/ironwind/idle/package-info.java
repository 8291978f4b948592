/**
 * Admission, eviction, timeouts, read scheduling and memory accounting of client connections. The
 * package does no I/O and reads no clock, and the cost of each operation is independent of the
 * number of connections.
 */
package ironwind.idle;
