/**
 * Load, experiments and measurements, played from outside the router: over sockets, or on the
 * deciding classes.
 */
package ironwind.lab;
