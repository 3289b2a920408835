package io.kumquatspindle.standins.endpoint;

import io.kumquatspindle.standins.http.Faults;

/**
 * Injected faults of a model engine.
 *
 * @param refuse whether requests are rejected with status 503 as not run
 * @param hang whether requests never get a response
 * @param delayMs additional time to the first token, in milliseconds
 * @param silentAfterTokens number of tokens after which a stream stalls, 0 for never
 * @param breakAfterTokens number of tokens after which the connection is closed, 0 for never
 * @param crossAnswers whether responses have the id and content of the previous request
 * @param leaving whether the engine reports that it is about to stop
 * @param ignoreFencing whether stale fencing numbers are accepted
 * @param orderDelayMs delay before an order is processed, in milliseconds
 * @param loseOrderAnswer whether the connection is closed after an order took effect, without a
 *     response
 * @param failLoads whether loads fail with status 503 after their usual duration
 * @param restart whether the engine restarts now: new incarnation, memory emptied
 * @param remaining number of requests and orders affected, 0 for no limit
 * @param downMs how long connections are refused, in milliseconds
 */
public record EngineFaults(
    boolean refuse,
    boolean hang,
    long delayMs,
    int silentAfterTokens,
    int breakAfterTokens,
    boolean crossAnswers,
    boolean leaving,
    boolean ignoreFencing,
    long orderDelayMs,
    boolean loseOrderAnswer,
    boolean failLoads,
    boolean restart,
    int remaining,
    long downMs)
    implements Faults {

  /** No faults. */
  public static final EngineFaults NONE =
      new EngineFaults(false, false, 0, 0, 0, false, false, false, 0, false, false, false, 0, 0);

  /** Validates the values. */
  public EngineFaults {
    if (delayMs < 0
        || silentAfterTokens < 0
        || breakAfterTokens < 0
        || orderDelayMs < 0
        || remaining < 0
        || downMs < 0) {
      throw new IllegalArgumentException("faults must not have negative numbers");
    }
  }

  boolean affectsRequests() {
    return refuse
        || hang
        || delayMs > 0
        || silentAfterTokens > 0
        || breakAfterTokens > 0
        || crossAnswers;
  }

  boolean affectsOrders() {
    return ignoreFencing || orderDelayMs > 0 || loseOrderAnswer || failLoads;
  }
}
