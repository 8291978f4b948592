package rig;

import java.io.IOException;

/** The position of the spoilt answer is a number that goes on for 2 MB. */
final class EndlessNumber extends SpoiltCase {
    private static final int DIGITS = 2_000_000;

    public static void main(String[] arguments) throws IOException {
        new EndlessNumber().run(arguments);
    }

    @Override
    HostStandIn.Spoilt spoilt() {
        return new HostStandIn.Spoilt(null, "1".repeat(DIGITS));
    }
}
