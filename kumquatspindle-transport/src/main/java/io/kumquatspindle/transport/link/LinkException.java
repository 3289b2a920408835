package io.kumquatspindle.transport.link;

/** Thrown when a {@link Link#request} fails without a reply. */
public final class LinkException extends Exception {
  private static final long serialVersionUID = 1L;

  /** The reason for a missing reply. */
  public enum Kind {
    /** The request was not sent; the other process certainly does not receive it. */
    NOT_SENT,
    /** No reply arrived within the timeout; the other process may have received the request. */
    TIMED_OUT,
    /**
     * The connection closed before a reply arrived; the other process may have received the
     * request.
     */
    CLOSED
  }

  private final Kind kind;

  LinkException(Kind kind, String message) {
    super(message);
    this.kind = kind;
  }

  /**
   * Returns why there is no reply.
   *
   * @return the reason
   */
  public Kind kind() {
    return kind;
  }
}
