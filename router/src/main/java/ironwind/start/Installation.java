package ironwind.start;

import ironwind.hcl.Block;
import ironwind.hcl.BlockReader;
import ironwind.hcl.Diagnostics;
import ironwind.hcl.HclReader;
import ironwind.idle.Limits;
import java.nio.file.Path;

/**
 * What {@code deploy/ironwind.hcl} says, a block a subsystem; without the file everything is as the
 * start facts say.
 */
public record Installation(Limits idle, LogForm logForm) {
    /** How log lines are written. */
    public enum LogForm {
        /** Time, level, event, then key=value pairs. */
        PAIRS,
        /** One JSON object a line. */
        JSON
    }

    /** Without a file. */
    public static Installation of(StartFacts facts) {
        return new Installation(facts.idleLimits(), LogForm.PAIRS);
    }

    /** As the file says; null for none. */
    public static Installation of(StartFacts facts, Path file) {
        return file == null ? of(facts) : read(file, facts.idleLimits());
    }

    /**
     * Reads a file whole or not at all; an {@link ironwind.hcl.HclException} tells all that is
     * wrong with it.
     */
    public static Installation read(Path file, Limits otherwise) {
        Diagnostics complaints = new Diagnostics(file.toString());
        Block block = HclReader.read(file, complaints);
        return read(block, otherwise, complaints);
    }

    static Installation read(Block file, Limits otherwise, Diagnostics complaints) {
        BlockReader all = new BlockReader(file, complaints);
        BlockReader log = all.block("log");
        Installation read =
                new Installation(
                        IdleBlock.read(all.block("idle"), otherwise),
                        log.constant("form", LogForm.class, LogForm.PAIRS));
        log.reportUnknownNames();
        all.reportUnknownNames();
        complaints.throwIfAny();
        return read;
    }
}
