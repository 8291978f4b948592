package ironwind.config;

import ironwind.hcl.Block;
import ironwind.hcl.BlockReader;
import ironwind.hcl.Diagnostics;
import ironwind.hcl.HclReader;
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
     * @throws ironwind.hcl.HclException if the file has errors
     */
    public static OperatorSettings readOrDefaults(RouterConfig config, Path file) {
        return file == null ? defaults(config) : read(file, config.clientLimits());
    }

    /**
     * Reads and checks a whole file.
     *
     * @throws ironwind.hcl.HclException with all errors in the file, if it has any
     */
    public static OperatorSettings read(Path file, Limits defaults) {
        Diagnostics errors = new Diagnostics(file.toString());
        Block root = HclReader.read(file, errors);
        return read(root, defaults, errors);
    }

    static OperatorSettings read(Block root, Limits defaults, Diagnostics errors) {
        BlockReader all = new BlockReader(root, errors);
        BlockReader log = all.block("log");
        OperatorSettings settings =
                new OperatorSettings(
                        LimitsReader.read(all.block("idle"), defaults),
                        log.constant("form", LogFormat.class, LogFormat.PAIRS));
        log.reportUnknownNames();
        all.reportUnknownNames();
        errors.throwIfAny();
        return settings;
    }
}
