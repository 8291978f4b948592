package ironwind.cli;

import ironwind.adapter.Adapter;
import java.io.FileOutputStream;
import java.io.FileDescriptor;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** The command line: a subcommand, or {@code --help} or {@code --version}. */
public final class Main {
    private static final String USAGE = """
            usage: ironwind COMMAND

            commands:
              adapter      play the simulator's wire on standard input and output

            options:
              --help       print this text
              --version    print the version
            """;
    private static final int USAGE_ERROR = 2;

    private Main() {
    }

    public static void main(String[] args) throws IOException {
        PrintStream errors = new PrintStream(new FileOutputStream(FileDescriptor.err), true, StandardCharsets.UTF_8);
        int code = run(args, System.in, new FileOutputStream(FileDescriptor.out), errors);
        if (code != 0) {
            System.exit(code);
        }
    }

    static int run(String[] args, InputStream in, OutputStream out, PrintStream errors) throws IOException {
        String word = args.length == 1 ? args[0] : "";
        switch (word) {
            case "adapter":
                return new Adapter(in, out).run(errors);
            case "--help":
                out.write(USAGE.getBytes(StandardCharsets.UTF_8));
                return 0;
            case "--version":
                String version = Main.class.getPackage().getImplementationVersion();
                out.write(("ironwind " + (version == null ? "(unpackaged)" : version) + "\n")
                        .getBytes(StandardCharsets.UTF_8));
                return 0;
            default:
                errors.print(USAGE);
                return USAGE_ERROR;
        }
    }
}
