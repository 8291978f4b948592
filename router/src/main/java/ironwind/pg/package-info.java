/**
 * Encodes and decodes the part of the PostgreSQL protocol, version 3, that the router supports: the
 * startup sequence and simple queries. Nothing here performs I/O.
 */
package ironwind.pg;
