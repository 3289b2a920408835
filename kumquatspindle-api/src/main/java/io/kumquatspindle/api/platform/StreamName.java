package io.kumquatspindle.api.platform;

/** The streams of the platform's log that the system uses. */
public enum StreamName {
  /** Change tickets, filed by operators. */
  TICKETS("tickets"),
  /** Whole folds of other streams, in chunks. */
  SNAPSHOTS("snapshots"),
  /** Load and unload decisions. */
  DECISIONS("decisions"),
  /** Owners of quota slots. */
  SHARES("shares"),
  /** Idempotency keys and outcomes. */
  INTENTS("intents");

  private final String path;

  StreamName(String path) {
    this.path = path;
  }

  /**
   * Returns the name that the log service knows.
   *
   * @return the name
   */
  public String path() {
    return path;
  }
}
