package rig;

import java.io.IOException;

/** The command tag of the spoilt answer repeats its last part 20,000 times, which is 40 KB. */
final class EndlessTag extends SpoiltCase {
    private static final int REPETITIONS = 20_000;

    public static void main(String[] arguments) throws IOException {
        new EndlessTag().run(arguments);
    }

    @Override
    HostStandIn.Spoilt spoilt() {
        return new HostStandIn.Spoilt("SELECT" + " 1".repeat(REPETITIONS), null);
    }
}
