package io.kumquatspindle.standins.endpoint;

import io.kumquatspindle.standins.http.Faults;

/**
 * Faults of a model engine.
 *
 * @param refuse whether requests are refused with 503 as not run
 * @param hang whether requests get no byte of an answer
 * @param delayMs additional time to the first token, in milliseconds
 * @param silentAfterTokens tokens after which a stream goes silent, 0 for never
 * @param breakAfterTokens tokens after which the connection breaks, 0 for never
 * @param crossAnswers whether answers carry the id and content of another request
 * @param leaving whether the engine reports that it is about to stop
 * @param ignoreFencing whether old fencing numbers are accepted
 * @param orderDelayMs time before an order is looked at, in milliseconds
 * @param loseOrderAnswer whether the connection breaks after an order took effect
 * @param failLoads whether loads end with 503 after their time
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

  /** All faults off. */
  public static final EngineFaults NONE =
      new EngineFaults(false, false, 0, 0, 0, false, false, false, 0, false, false, false, 0, 0);

  /** Checks the values. */
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
