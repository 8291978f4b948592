package ironwind.cli;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** {@code ironwind adapter}: speaks the simulator's line protocol on standard input and output. */
@Command(
        name = "adapter",
        mixinStandardHelpOptions = true,
        description = "Speak the simulator's line protocol on standard input and output.")
final class Adapter implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
        return new ironwind.adapter.Adapter(System.in, new FileOutputStream(FileDescriptor.out))
                .run(System.err);
    }
}
