/**
 * The router's network side. The connections of clients and to hosts, the discovery watch and the
 * task that runs the decision logic share one event loop. Client connections are limited by {@code
 * ironwind.idle}, and messages are encoded and decoded by {@code ironwind.pg}.
 */
package ironwind.net;
