/**
 * Runs the decision logic under the simulator: translates the lines of the simulator's protocol to
 * calls of {@link ironwind.Logic}, and its decisions back to lines.
 */
package ironwind.adapter;
