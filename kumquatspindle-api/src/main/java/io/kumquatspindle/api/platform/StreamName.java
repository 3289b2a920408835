package io.kumquatspindle.api.platform;

/** The log streams that the system uses. */
public enum StreamName {
  /** Configuration tickets submitted by operators. */
  TICKETS("tickets"),
  /** Snapshots of the state built from other streams, in chunks. */
  SNAPSHOTS("snapshots"),
  /** Load and unload decisions and their outcomes. */
  DECISIONS("decisions"),
  /** Ownership of quota slots. */
  SHARES("shares"),
  /** Idempotency keys and the outcomes of their calls. */
  INTENTS("intents");

  private final String path;

  StreamName(String path) {
    this.path = path;
  }

  /**
   * Returns the name of the stream in the log service.
   *
   * @return the name
   */
  public String path() {
    return path;
  }
}
