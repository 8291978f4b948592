package ironwind.hcl;

import java.util.List;

/**
 * A parsed block. The file itself is a block with an empty name.
 *
 * @param name the block's type, such as {@code idle}
 * @param labels the labels after the name
 * @param line the line of the name, counted from 1
 * @param attributes the attributes directly in this block, in the order of the file
 * @param blocks the blocks directly in this block, in the order of the file
 */
public record Block(
        String name,
        List<String> labels,
        int line,
        List<Attribute> attributes,
        List<Block> blocks) {
    /**
     * A parsed attribute.
     *
     * @param name the name on the left of the equals sign
     * @param value a {@code String}, {@code java.math.BigDecimal}, {@code Boolean} or {@code List}
     *     of these
     * @param line the line of the name, counted from 1
     */
    public record Attribute(String name, Object value, int line) {}
}
