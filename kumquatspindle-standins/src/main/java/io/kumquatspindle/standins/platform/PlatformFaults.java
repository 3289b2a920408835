package io.kumquatspindle.standins.platform;

import io.kumquatspindle.standins.http.Faults;

/**
 * Injected faults of the log service, the VM list and the weight store.
 *
 * @param out whether requests are rejected with status 503
 * @param hang whether requests never get a response
 * @param slowMs delay of each request before it takes effect, in milliseconds
 * @param loseAnswer whether the connection is closed after an append took effect, without a
 *     response; log service only
 * @param only {@code appends} or {@code reads} to affect only that kind of request; null for both;
 *     log service only
 * @param speedFactor factor on the speed of transfers, 0 for full speed; weight store only
 * @param lagMs new lag of the VM list, 0 for no change; VM list only
 * @param remaining number of requests affected, 0 for no limit
 * @param downMs how long connections are refused, in milliseconds
 */
public record PlatformFaults(
    boolean out,
    boolean hang,
    long slowMs,
    boolean loseAnswer,
    String only,
    double speedFactor,
    long lagMs,
    int remaining,
    long downMs)
    implements Faults {

  /** No faults. */
  public static final PlatformFaults NONE =
      new PlatformFaults(false, false, 0, false, null, 0, 0, 0, 0);

  /** Validates the values. */
  public PlatformFaults {
    if (slowMs < 0 || speedFactor < 0 || lagMs < 0 || remaining < 0 || downMs < 0) {
      throw new IllegalArgumentException("faults must not have negative numbers");
    }
    if (only != null && !only.equals("appends") && !only.equals("reads")) {
      throw new IllegalArgumentException("only must be appends or reads");
    }
  }

  boolean affects(boolean append) {
    return only == null || only.equals(append ? "appends" : "reads");
  }
}
