/** The {@code ironwind} command line for operators, with one class per command. */
package ironwind.cli;
