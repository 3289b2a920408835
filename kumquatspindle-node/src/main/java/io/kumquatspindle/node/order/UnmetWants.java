package io.kumquatspindle.node.order;

import java.util.HashMap;
import java.util.Map;

/**
 * Since when models have been wanted without a load of them under way. Answers wants whose order is
 * held back by something that this VM does not see, such as a holder that may not order yet.
 */
final class UnmetWants {
  /** Time after the last want in which a model counts as wanted, in ms; a caller's pause. */
  private static final long FORGET_MS = 3_000;

  private final Map<String, Unmet> byModel = new HashMap<>();

  private record Unmet(long sinceMs, long wantedMs) {}

  /**
   * Notes a want.
   *
   * @param model service and model
   * @param now present time, in ms
   * @return time for which the model has been wanted in vain, in ms
   */
  long wanted(String model, long now) {
    byModel.values().removeIf(u -> now - u.wantedMs() > FORGET_MS);
    Unmet before = byModel.get(model);
    long since = before == null ? now : before.sinceMs();
    byModel.put(model, new Unmet(since, now));
    return now - since;
  }

  /**
   * Notes that a model is there, or that a load of it is under way.
   *
   * @param model service and model
   */
  void met(String model) {
    byModel.remove(model);
  }
}
