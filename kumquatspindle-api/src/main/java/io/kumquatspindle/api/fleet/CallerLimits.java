package io.kumquatspindle.api.fleet;

/**
 * What a caller may send and how long it may take.
 *
 * @param headerBytes most bytes of a request's head
 * @param bodyBytes most bytes of a request's body
 * @param headerMs longest time for a request's head, in ms
 * @param idleMs longest time that a connection may be idle, in ms
 */
public record CallerLimits(int headerBytes, int bodyBytes, long headerMs, long idleMs) {
  /** In force until the first configuration arrives; the usual limits of HTTP servers. */
  public static final CallerLimits DEFAULTS =
      new CallerLimits(16_384, 4 * 1024 * 1024, 5_000, 60_000);
}
