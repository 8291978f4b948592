package ironwind.boot;

import ironwind.adapter.Adapter;
import ironwind.config.ConfigException;
import ironwind.config.OperatorSettings;
import ironwind.config.OperatorSettings.LogFormat;
import ironwind.config.RouterConfig;
import ironwind.hcl.HclException;
import ironwind.net.Log;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * The command line of the router's own jar, which has only a few commands so that it starts
 * quickly. The command line with all commands is in {@code ironwind.cli}.
 */
public final class Main {
    private static final String USAGE =
            """
            usage: ironwind COMMAND

            commands:
              adapter      speak the simulator's protocol on standard input and output
              serve        run a router with the configuration file that ROUTER_CONFIG names

            options:
              --help       print this text
              --version    print the version
            """;
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_START_FAILED = 1;

    private Main() {}

    /** Runs a command and exits with its code: 0, 1 if it failed, 2 for wrong usage. */
    public static void main(String[] args) throws IOException {
        PrintStream errors =
                new PrintStream(
                        new FileOutputStream(FileDescriptor.err), true, StandardCharsets.UTF_8);
        int code = run(args, System.in, new FileOutputStream(FileDescriptor.out), errors);
        if (code != 0) {
            System.exit(code);
        }
    }

    /** Serves until the process is terminated; returns only if the router cannot start. */
    private static int serve(String configFile, String settingsFile, PrintStream errors) {
        try {
            if (configFile == null) {
                throw new ConfigException("ROUTER_CONFIG is not set");
            }
            RouterConfig config = RouterConfig.read(Path.of(configFile));
            OperatorSettings settings =
                    OperatorSettings.readOrDefaults(
                            config, settingsFile == null ? null : Path.of(settingsFile));
            if (settings.logFormat() != LogFormat.PAIRS) {
                throw new ConfigException(
                        "log.form: this jar writes pairs only; use the ironwind command for json");
            }
            new RouterService(
                            Path.of(configFile),
                            config,
                            settings,
                            new Log(errors).withLibraryLogs())
                    .run();
            return 0;
        } catch (Exception e) {
            errors.println(
                    "ironwind: "
                            + (e instanceof ConfigException || e instanceof HclException
                                    ? e.getMessage()
                                    : e));
            return EXIT_START_FAILED;
        }
    }

    static int run(String[] args, InputStream in, OutputStream out, PrintStream errors)
            throws IOException {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "adapter":
                return new Adapter(in, out).run(errors);
            case "serve":
                return serve(System.getenv("ROUTER_CONFIG"), System.getenv("IRONWIND_HCL"), errors);
            case "--help":
                out.write(USAGE.getBytes(StandardCharsets.UTF_8));
                return 0;
            case "--version":
                String version = Main.class.getPackage().getImplementationVersion();
                out.write(
                        ("ironwind " + (version == null ? "(unpackaged)" : version) + "\n")
                                .getBytes(StandardCharsets.UTF_8));
                return 0;
            default:
                errors.print(USAGE);
                return EXIT_USAGE;
        }
    }
}
