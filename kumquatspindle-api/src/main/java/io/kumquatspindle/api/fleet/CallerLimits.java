package io.kumquatspindle.api.fleet;

/**
 * Size limits and timeouts for caller requests.
 *
 * @param maxHeaderBytes maximum size of the request header section, in bytes
 * @param maxBodyBytes maximum size of the request body, in bytes
 * @param headerTimeoutMs maximum time to receive the request header section, in ms
 * @param idleTimeoutMs maximum idle time of a connection, in ms
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
  /** Used until the first configuration is received; typical limits of HTTP servers. */
  public static final CallerLimits DEFAULTS =
      new CallerLimits(16_384, 4 * 1024 * 1024, 5_000, 60_000);
}
