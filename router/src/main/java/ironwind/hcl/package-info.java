/**
 * Reads HCL files, and checks them whole: every complaint has its line, and all are told at once.
 */
package ironwind.hcl;
