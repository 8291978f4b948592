package ironwind.start;

/** What is wrong with the facts that a router was to be started with. */
public final class StartFault extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public StartFault(String what) {
        super(what);
    }
}
