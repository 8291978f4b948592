package ironwind.pg;

/** One message as it came: its type byte, and what follows its length. */
public record Frame(char type, byte[] body) {
    /** Stands for the type of a start-up message, which has none. */
    public static final char STARTUP = 0;
}
