/**
 * Load generators and benchmarks. They drive a router from outside over sockets, or measure its
 * connection manager or the I/O libraries in their own process.
 */
package ironwind.lab;
