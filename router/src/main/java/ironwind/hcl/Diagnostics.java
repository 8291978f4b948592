package ironwind.hcl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects the problems found in one file. */
public final class Diagnostics {
    private final String file;
    private final List<Diagnostic> diagnostics = new ArrayList<>();

    private record Diagnostic(int line, String message) {}

    /**
     * Creates an empty collection.
     *
     * @param file the file's name, which precedes each message
     */
    public Diagnostics(String file) {
        this.file = file;
    }

    /** Adds a problem; lines are counted from 1. */
    public void add(int line, String message) {
        diagnostics.add(new Diagnostic(line, message));
    }

    /** Whether no problem was added. */
    public boolean isEmpty() {
        return diagnostics.isEmpty();
    }

    /** Returns the problems as {@code file:line: message}, sorted by line. */
    public List<String> messages() {
        return diagnostics.stream()
                .sorted(Comparator.comparingInt(Diagnostic::line))
                .map(diagnostic -> file + ":" + diagnostic.line + ": " + diagnostic.message)
                .toList();
    }

    /**
     * Reports the problems.
     *
     * @throws HclException if any problem was added
     */
    public void throwIfAny() {
        if (!diagnostics.isEmpty()) {
            throw new HclException(messages());
        }
    }
}
