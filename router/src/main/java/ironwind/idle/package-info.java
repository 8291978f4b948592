/**
 * Which client connections are kept, for how long, who is read when, and what memory they may have.
 * Nothing here does I/O or reads a clock; every step costs the same however many connections there
 * are.
 */
package ironwind.idle;
