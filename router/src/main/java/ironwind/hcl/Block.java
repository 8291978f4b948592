package ironwind.hcl;

import java.util.List;

/**
 * A block as it stands in a file; the file itself is one without a name.
 *
 * @param line of its name, from 1
 */
public record Block(
        String name,
        List<String> labels,
        int line,
        List<Attribute> attributes,
        List<Block> blocks) {
    /**
     * @param value a {@code String}, {@code java.math.BigDecimal}, {@code Boolean} or {@code List}
     *     of these
     */
    public record Attribute(String name, Object value, int line) {}
}
