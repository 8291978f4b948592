package ironwind.boot;

import ironwind.adapter.Adapter;
import ironwind.hcl.HclException;
import ironwind.net.Log;
import ironwind.start.Installation;
import ironwind.start.Installation.LogForm;
import ironwind.start.StartFacts;
import ironwind.start.StartFault;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * The small command line of a router's own jar, which starts quickly; {@code ironwind.cli} has the
 * whole one.
 */
public final class Main {
    private static final String USAGE =
            """
            usage: ironwind COMMAND

            commands:
              adapter      play the simulator's wire on standard input and output
              serve        be a real router, as the file that ROUTER_CONFIG names says

            options:
              --help       print this text
              --version    print the version
            """;
    private static final int USAGE_ERROR = 2;
    private static final int START_ERROR = 1;

    private Main() {}

    public static void main(String[] args) throws IOException {
        PrintStream errors =
                new PrintStream(
                        new FileOutputStream(FileDescriptor.err), true, StandardCharsets.UTF_8);
        int code = run(args, System.in, new FileOutputStream(FileDescriptor.out), errors);
        if (code != 0) {
            System.exit(code);
        }
    }

    /** Serves until the process is asked to end; returns only where it could not start. */
    private static int serve(String file, String hcl, PrintStream errors) {
        try {
            if (file == null) {
                throw new StartFault("ROUTER_CONFIG names no file");
            }
            StartFacts facts = StartFacts.read(Path.of(file));
            Installation installation = Installation.of(facts, hcl == null ? null : Path.of(hcl));
            if (installation.logForm() != LogForm.PAIRS) {
                throw new StartFault(
                        "log.form: this jar writes pairs only, the ironwind command writes json too");
            }
            new Service(Path.of(file), facts, installation, new Log(errors).withLibraries()).run();
            return 0;
        } catch (Exception e) {
            errors.println(
                    "ironwind: "
                            + (e instanceof StartFault || e instanceof HclException
                                    ? e.getMessage()
                                    : e));
            return START_ERROR;
        }
    }

    static int run(String[] args, InputStream in, OutputStream out, PrintStream errors)
            throws IOException {
        String word = args.length == 1 ? args[0] : "";
        switch (word) {
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
                return USAGE_ERROR;
        }
    }
}
