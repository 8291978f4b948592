package ironwind.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import ironwind.config.Address;
import ironwind.config.NameIndex;
import ironwind.model.Host.DiscoveryState;
import ironwind.model.HostEntry;
import ironwind.model.Moment;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decodes the answers of the discovery service, as the protocol specification (PROTOCOL) describes
 * them. Reads token by token, and keeps nothing of fields that it does not know, whatever their
 * depth and size.
 */
final class HostListDecoder {
    /** Most hosts in an answer. */
    static final int MAX_HOSTS = 8_192;

    /** Longest value of a field, in characters. */
    private static final int MAX_VALUE_CHARS = 256;

    private static final String PRIMARY = "primary";

    private final JsonFactory factory = new JsonFactory();
    private final NameIndex names;

    /** The fields of one host as they are read; null if absent. */
    private static final class Fields {
        private String id;
        private String address;
        private String state;
        private String zone;
        private String kind;
        private String role;
        private int group;
        private double weight = 1;
        private long startedMs;
    }

    /**
     * Creates a decoder.
     *
     * @param names the zones and kinds of hosts that the router knows
     */
    HostListDecoder(NameIndex names) {
        this.names = names;
    }

    /**
     * Decodes an answer.
     *
     * @throws IOException if it is not valid JSON, or a value has the wrong type
     * @throws IllegalArgumentException if a field is missing, a value is out of range, or there are
     *     too many hosts
     */
    HostListUpdate decode(byte[] json) throws IOException {
        Long version = null;
        boolean complete = true;
        List<Fields> hosts = null;
        try (JsonParser parser = factory.createParser(json)) {
            expect(parser, parser.nextToken(), JsonToken.START_OBJECT);
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String field = parser.currentName();
                JsonToken value = parser.nextToken();
                switch (field) {
                    case "version" -> version = parser.getLongValue();
                    case "full" ->
                            complete = value == JsonToken.VALUE_NULL || parser.getBooleanValue();
                    case "servers" -> hosts = readHosts(parser);
                    default -> parser.skipChildren();
                }
            }
            if (parser.nextToken() != null) {
                throw new JsonParseException(parser, "there is more behind the list");
            }
        }
        if (version == null || hosts == null) {
            throw new IllegalArgumentException("the list has no version or no servers");
        }
        return toUpdate(version, complete, hosts);
    }

    private static void expect(JsonParser parser, JsonToken token, JsonToken expected)
            throws JsonParseException {
        if (token != expected) {
            throw new JsonParseException(parser, "expected " + expected + " instead of " + token);
        }
    }

    private static List<Fields> readHosts(JsonParser parser) throws IOException {
        expect(parser, parser.currentToken(), JsonToken.START_ARRAY);
        List<Fields> hosts = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            expect(parser, parser.currentToken(), JsonToken.START_OBJECT);
            if (hosts.size() == MAX_HOSTS) {
                throw new IllegalArgumentException(
                        "the list has more than " + MAX_HOSTS + " hosts");
            }
            hosts.add(readHost(parser));
        }
        return hosts;
    }

    private static Fields readHost(JsonParser parser) throws IOException {
        Fields host = new Fields();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String field = parser.currentName();
            if (parser.nextToken() == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (field) {
                case "id" -> host.id = readText(parser);
                case "addr" -> host.address = readText(parser);
                case "state" -> host.state = readText(parser);
                case "zone" -> host.zone = readText(parser);
                case "kind" -> host.kind = readText(parser);
                case "role" -> host.role = readText(parser);
                case "cell" -> host.group = parser.getIntValue();
                case "weight" -> host.weight = parser.getDoubleValue();
                case "started_ms" -> host.startedMs = parser.getLongValue();
                default -> parser.skipChildren();
            }
        }
        return host;
    }

    private static String readText(JsonParser parser) throws IOException {
        if (!parser.currentToken().isScalarValue()) {
            throw new JsonParseException(parser, "expected a text");
        }
        if (parser.getTextLength() > MAX_VALUE_CHARS) {
            throw new IllegalArgumentException("a value is too long");
        }
        return parser.getText();
    }

    private HostListUpdate toUpdate(long version, boolean complete, List<Fields> hosts) {
        List<HostEntry> entries = new ArrayList<>();
        Map<String, Address> addresses = new HashMap<>();
        for (Fields host : hosts) {
            if (host.id == null || host.address == null || host.state == null) {
                throw new IllegalArgumentException("a host has no id, no address or no state");
            }
            entries.add(toEntry(host));
            addresses.put(host.id, Address.parse(host.address));
        }
        return new HostListUpdate(version, complete, entries, addresses);
    }

    private HostEntry toEntry(Fields host) {
        DiscoveryState state =
                switch (host.state) {
                    case "Ready" -> DiscoveryState.READY;
                    case "Terminating" -> DiscoveryState.DRAINING;
                    case "Gone" -> DiscoveryState.GONE;
                    default -> throw new IllegalArgumentException("unknown state " + host.state);
                };
        return new HostEntry(
                host.id,
                indexOf(names.zones(), host.zone),
                indexOf(names.kinds(), host.kind),
                host.group,
                state,
                host.weight,
                host.startedMs == 0 ? Moment.NEVER : Moment.ofMillis(host.startedMs),
                PRIMARY.equals(host.role));
    }

    /** Returns the index of a name; all names that are not listed share the next free index. */
    private static int indexOf(List<String> knownNames, String name) {
        int index = knownNames.indexOf(name);
        return index < 0 ? knownNames.size() : index;
    }
}
