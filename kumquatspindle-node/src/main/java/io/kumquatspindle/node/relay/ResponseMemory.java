package io.kumquatspindle.node.relay;

/**
 * Bounds the memory for parts of responses that are held back until they are complete. The load
 * that this answers: many endpoints, or one under many requests, send bodies or events without end.
 * Each of them alone is within the bound of a single response. Used on the event loop only.
 */
public final class ResponseMemory {
  private final long limitBytes;
  private long usedBytes;

  /**
   * Creates an instance of which nothing is used.
   *
   * @param limitBytes bytes that may be held for all responses together
   */
  public ResponseMemory(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /**
   * Returns an account of one response.
   *
   * @return the account, which holds nothing
   */
  public Account open() {
    return new Account();
  }

  /**
   * Returns what is held.
   *
   * @return bytes of all responses together
   */
  public long usedBytes() {
    return usedBytes;
  }

  /** The memory that is held for one response. */
  public final class Account {
    private long bytes;

    private Account() {}

    /**
     * Sets the size of what is held.
     *
     * @param newBytes size in bytes
     * @return false if the limit would be exceeded; then the former size stays
     */
    public boolean resize(long newBytes) {
      if (newBytes > bytes && usedBytes - bytes + newBytes > limitBytes) {
        return false;
      }
      usedBytes += newBytes - bytes;
      bytes = newBytes;
      return true;
    }
  }
}
