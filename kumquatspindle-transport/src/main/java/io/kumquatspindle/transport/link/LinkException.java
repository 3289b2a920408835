package io.kumquatspindle.transport.link;

/** Tells why an {@link Link#ask} has no reply. */
public final class LinkException extends Exception {
  private static final long serialVersionUID = 1L;

  /** The cases without a reply. */
  public enum Kind {
    /** Certain: the other process does not get the message. */
    NOT_SENT,
    /** No reply came in time; the other process may have the message. */
    TIMED_OUT,
    /** The connection closed before a reply came; the other process may have the message. */
    CLOSED
  }

  private final Kind kind;

  LinkException(Kind kind, String message) {
    super(message);
    this.kind = kind;
  }

  /**
   * Returns the case.
   *
   * @return the case
   */
  public Kind kind() {
    return kind;
  }
}
