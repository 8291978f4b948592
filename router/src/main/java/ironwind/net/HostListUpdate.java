package ironwind.net;

import ironwind.config.Address;
import ironwind.model.HostEntry;
import java.util.List;
import java.util.Map;

/**
 * An answer of the discovery service.
 *
 * @param version the service's version of the list
 * @param complete whether the entries are the whole list; otherwise only those that changed
 * @param entries the hosts
 * @param addresses the addresses of these hosts by id
 */
record HostListUpdate(
        long version, boolean complete, List<HostEntry> entries, Map<String, Address> addresses) {}
