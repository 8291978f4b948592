package ironwind.hcl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** What is wrong with one file, by line. */
public final class Diagnostics {
    private final String file;
    private final List<Complaint> all = new ArrayList<>();

    private record Complaint(int line, String words) {}

    public Diagnostics(String file) {
        this.file = file;
    }

    public void add(int line, String words) {
        all.add(new Complaint(line, words));
    }

    public boolean isEmpty() {
        return all.isEmpty();
    }

    /** One text a complaint, {@code file:line: words}, in the order of the lines. */
    public List<String> lines() {
        return all.stream()
                .sorted(Comparator.comparingInt(Complaint::line))
                .map(complaint -> file + ":" + complaint.line + ": " + complaint.words)
                .toList();
    }

    /** Throws what was complained of, where anything was. */
    public void throwIfAny() {
        if (!all.isEmpty()) {
            throw new HclException(lines());
        }
    }
}
