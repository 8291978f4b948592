package ironwind.cli;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Play the simulator's wire. */
@Command(
        name = "adapter",
        mixinStandardHelpOptions = true,
        description = "Play the simulator's wire on standard input and output.")
final class Adapter implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
        return new ironwind.adapter.Adapter(System.in, new FileOutputStream(FileDescriptor.out))
                .run(System.err);
    }
}
