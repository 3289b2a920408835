package io.kumquatspindle.engine.fleet;

import java.util.Optional;

/**
 * The model at one endpoint that is being drained, that is, receives no new requests until it can
 * be evicted. Without draining, a surplus replica that always has a request in progress would never
 * become idle and could not be evicted.
 */
final class DrainingModel {
  /**
   * Maximum duration of draining, in ms. Shorter than {@link HoldingUpdates#EVICTION_VALID_MS}, the
   * time for which other VMs regard the model as evicted.
   */
  private static final long MAX_DURATION_MS = 2_000;

  /**
   * Time after which a model is evicted even if requests are in progress, in ms. Most requests
   * complete within this time.
   */
  private static final long FORCED_EVICTION_MS = 1_000;

  private Optional<String> model = Optional.empty();
  private long sinceMs;

  void begin(Optional<String> chosen, long now) {
    model = chosen;
    sinceMs = now;
  }

  /**
   * Ends draining after its maximum duration; the endpoint then receives requests for the model
   * again.
   */
  void expire(long now) {
    if (now - sinceMs >= MAX_DURATION_MS) {
      model = Optional.empty();
    }
  }

  void evicted(String evicted) {
    model = model.filter(m -> !m.equals(evicted));
  }

  Optional<String> model() {
    return model;
  }

  /** Returns the draining model if it can be evicted now. */
  Optional<String> evictable(OrderContext context, long now) {
    return model.filter(
        m -> now - sinceMs >= FORCED_EVICTION_MS || !context.requestsInProgress(m, ""));
  }
}
