/**
 * Reads and validates HCL files. All problems of a file are collected, each with its line, and
 * reported together.
 */
package ironwind.hcl;
