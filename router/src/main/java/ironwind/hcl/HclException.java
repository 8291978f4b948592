package ironwind.hcl;

import java.util.List;

/** A file that is not taken, with all that is wrong with it. */
public final class HclException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<String> lines;

    public HclException(List<String> lines) {
        super(String.join("\n", lines), null, false, false);
        this.lines = List.copyOf(lines);
    }

    public List<String> lines() {
        return lines;
    }
}
