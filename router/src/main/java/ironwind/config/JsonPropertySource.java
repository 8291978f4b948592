package ironwind.config;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Nested JSON as a flat view: paths joined by dots, a list of objects as its length under {@code
 * .count} and its items under their numbers, a list of plain values joined by commas.
 */
public final class JsonPropertySource implements PropertySource {
    private final String root;
    private final Map<String, String> values = new HashMap<>();

    /** {@code root} names the object in faults. */
    public JsonPropertySource(String root, JsonObject object) {
        this.root = root;
        object.forEach(entry -> flatten(entry.getKey(), entry.getValue()));
    }

    private void flatten(String path, Object value) {
        if (value instanceof JsonObject object) {
            object.forEach(entry -> flatten(path + "." + entry.getKey(), entry.getValue()));
        } else if (value instanceof JsonArray array) {
            boolean objects = array.stream().anyMatch(JsonObject.class::isInstance);
            if (objects) {
                values.put(path + ".count", Integer.toString(array.size()));
                for (int i = 0; i < array.size(); i++) {
                    flatten(path + "." + i, array.getValue(i));
                }
            } else {
                values.put(
                        path,
                        array.stream()
                                .map(JsonPropertySource::plain)
                                .collect(Collectors.joining(",")));
            }
        } else if (value != null) {
            values.put(path, plain(value));
        }
    }

    /** A number without a fraction is written without one, however it stood in the JSON. */
    private static String plain(Object value) {
        boolean whole =
                value instanceof Double number
                        && number == Math.rint(number)
                        && Math.abs(number) < 1e15;
        return whole ? Long.toString(((Double) value).longValue()) : String.valueOf(value);
    }

    @Override
    public String text(String key) {
        return values.get(key);
    }

    @Override
    public ConfigException fault(String key, String what) {
        return new ConfigException(root + "." + key + " " + what);
    }
}
