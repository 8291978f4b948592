package ironwind.model;

/** A host's word on its own role. */
public enum Role {
    UNTOLD,
    PRIMARY,
    REPLICA
}
