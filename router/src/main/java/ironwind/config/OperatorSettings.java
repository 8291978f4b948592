package ironwind.config;

import ironwind.hcl.Block;
import ironwind.hcl.Complaints;
import ironwind.hcl.HclReader;
import ironwind.hcl.Section;
import ironwind.idle.Limits;
import java.nio.file.Path;

/**
 * The operator's settings from an HCL file such as {@code deploy/ironwind.hcl}, one block per
 * subsystem. Settings that are absent keep defaults derived from the {@link RouterConfig}.
 *
 * @param clientLimits limits on client connections (block {@code idle})
 * @param logFormat how log lines are written (block {@code log})
 */
public record OperatorSettings(Limits clientLimits, LogFormat logFormat) {
    /** How log lines are written. */
    public enum LogFormat {
        /** Time, level, event, then key=value pairs. */
        PAIRS,
        /** One JSON object per line. */
        JSON
    }

    /** Returns the settings that apply without a file. */
    public static OperatorSettings defaults(RouterConfig config) {
        return new OperatorSettings(config.clientLimits(), LogFormat.PAIRS);
    }

    /**
     * Reads the settings from the file, or returns the defaults if the file is null.
     *
     * @throws ironwind.hcl.HclFault if the file has errors
     */
    public static OperatorSettings readOrDefaults(RouterConfig config, Path file) {
        return file == null ? defaults(config) : read(file, config.clientLimits());
    }

    /**
     * Reads and checks a whole file.
     *
     * @throws ironwind.hcl.HclFault with all errors in the file, if it has any
     */
    public static OperatorSettings read(Path file, Limits defaults) {
        Complaints errors = new Complaints(file.toString());
        Block root = HclReader.read(file, errors);
        return read(root, defaults, errors);
    }

    static OperatorSettings read(Block root, Limits defaults, Complaints errors) {
        Section all = new Section(root, errors);
        Section log = all.only("log");
        OperatorSettings settings =
                new OperatorSettings(
                        LimitsReader.read(all.only("idle"), defaults),
                        log.choice("form", LogFormat.class, LogFormat.PAIRS));
        log.done();
        all.done();
        errors.throwIfAny();
        return settings;
    }
}
