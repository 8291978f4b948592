/**
 * Load generators and benchmarks. They drive a router from outside over sockets, or call its
 * decision classes directly.
 */
package ironwind.lab;
