/**
 * The router's configuration: the start facts (JSON), the settings of a simulated router (one line
 * of the simulator's protocol) and the operator's settings file (HCL). Reading is all or nothing; a
 * missing or malformed value is reported with its key.
 */
package ironwind.config;
