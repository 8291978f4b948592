/**
 * Stand-ins of what a router meets: hosts, discovery, and a plain loop of sockets to play them on.
 * Written from the published protocols; nothing of the router's own I/O is used, as a stand-in that
 * shares it would prove nothing.
 */
package ironwind.standin;
