package ironwind.config;

import ironwind.hcl.Block;
import ironwind.hcl.Complaints;
import ironwind.hcl.HclReader;
import ironwind.hcl.Section;
import ironwind.idle.Limits;
import java.nio.file.Path;

/**
 * What {@code deploy/ironwind.hcl} says, a block a subsystem; without the file everything is as the
 * start facts say.
 */
public record OperatorSettings(Limits clientLimits, LogFormat logFormat) {
    /** How log lines are written. */
    public enum LogFormat {
        /** Time, level, event, then key=value pairs. */
        PAIRS,
        /** One JSON object a line. */
        JSON
    }

    /** Without a file. */
    public static OperatorSettings defaults(RouterConfig facts) {
        return new OperatorSettings(facts.clientLimits(), LogFormat.PAIRS);
    }

    /** As the file says; null for none. */
    public static OperatorSettings readOrDefaults(RouterConfig facts, Path file) {
        return file == null ? defaults(facts) : read(file, facts.clientLimits());
    }

    /**
     * Reads a file whole or not at all; an {@link ironwind.hcl.HclFault} tells all that is wrong
     * with it.
     */
    public static OperatorSettings read(Path file, Limits otherwise) {
        Complaints complaints = new Complaints(file.toString());
        Block block = HclReader.read(file, complaints);
        return read(block, otherwise, complaints);
    }

    static OperatorSettings read(Block file, Limits otherwise, Complaints complaints) {
        Section all = new Section(file, complaints);
        Section log = all.only("log");
        OperatorSettings read =
                new OperatorSettings(
                        LimitsReader.read(all.only("idle"), otherwise),
                        log.choice("form", LogFormat.class, LogFormat.PAIRS));
        log.done();
        all.done();
        complaints.throwIfAny();
        return read;
    }
}
