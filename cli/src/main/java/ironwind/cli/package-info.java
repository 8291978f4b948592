/** The operator's command line, a class a command. */
package ironwind.cli;
