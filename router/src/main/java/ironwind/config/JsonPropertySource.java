package ironwind.config;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Flattens nested JSON into key-value pairs. Keys are paths joined by dots. A list of objects
 * becomes its length under {@code .count} and its items under their indexes; a list of plain values
 * becomes one comma-separated value. Keys with a null value count as absent.
 */
public final class JsonPropertySource implements PropertySource {
    private final String root;
    private final Map<String, String> values = new HashMap<>();

    /**
     * Flattens a JSON object.
     *
     * @param root the object's name in error messages
     * @param object the object to flatten
     */
    public JsonPropertySource(String root, JsonObject object) {
        this.root = root;
        object.forEach(entry -> flatten(entry.getKey(), entry.getValue()));
    }

    private void flatten(String path, Object value) {
        if (value instanceof JsonObject object) {
            object.forEach(entry -> flatten(path + "." + entry.getKey(), entry.getValue()));
        } else if (value instanceof JsonArray array) {
            boolean hasObjects = array.stream().anyMatch(JsonObject.class::isInstance);
            if (hasObjects) {
                values.put(path + ".count", Integer.toString(array.size()));
                for (int i = 0; i < array.size(); i++) {
                    flatten(path + "." + i, array.getValue(i));
                }
            } else {
                values.put(
                        path,
                        array.stream()
                                .map(JsonPropertySource::format)
                                .collect(Collectors.joining(",")));
            }
        } else if (value != null) {
            values.put(path, format(value));
        }
    }

    /** Formats 400000.0 as "400000", so that whole numbers parse however the JSON wrote them. */
    private static String format(Object value) {
        boolean whole =
                value instanceof Double number
                        && number == Math.rint(number)
                        && Math.abs(number) < 1e15;
        return whole ? Long.toString(((Double) value).longValue()) : String.valueOf(value);
    }

    @Override
    public String getString(String key) {
        return values.get(key);
    }

    @Override
    public ConfigException error(String key, String problem) {
        return new ConfigException(root + "." + key + " " + problem);
    }
}
