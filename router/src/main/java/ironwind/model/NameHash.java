package ironwind.model;

/** Hash of names that clients choose, kept in place of names of any length. */
public final class NameHash {
    private static final long OFFSET = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    private NameHash() {}

    /** Returns the 64-bit FNV-1a hash of a name. */
    public static long of(String name) {
        long hash = OFFSET;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * PRIME;
        }
        return hash;
    }
}
