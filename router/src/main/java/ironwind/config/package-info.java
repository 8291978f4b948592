/**
 * Readers of the router configuration (JSON), the settings of a simulated router (one line of the
 * simulator's protocol) and the operator settings (HCL). Reading is all or nothing; a missing or
 * malformed value is reported with its key.
 */
package ironwind.config;
