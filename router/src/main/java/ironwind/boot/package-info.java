/** The router's process: the command line of its jar, signals, start and stop. */
package ironwind.boot;
