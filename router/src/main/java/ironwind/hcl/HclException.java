package ironwind.hcl;

import java.util.List;

/** Thrown for a file that is unreadable or invalid; it lists all problems found. */
public final class HclException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<String> messages;

    /** Creates an exception, without a stack trace, whose message has one line per problem. */
    public HclException(List<String> messages) {
        super(String.join("\n", messages), null, false, false);
        this.messages = List.copyOf(messages);
    }

    /** Returns one message per problem. */
    public List<String> messages() {
        return messages;
    }
}
