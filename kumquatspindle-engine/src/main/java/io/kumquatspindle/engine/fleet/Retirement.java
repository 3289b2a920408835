package io.kumquatspindle.engine.fleet;

import java.util.Optional;

/**
 * The model at one endpoint that requests are kept from until it can be evicted. Answers copies to
 * spare that always have a request running: they would never be idle enough to give way.
 */
final class Retirement {
  /** Time for which requests are kept from a model, in ms; the news of it lasts a little longer. */
  private static final long LASTS_MS = 2_000;

  /** Time after which a model is evicted although requests run, in ms; longer than most take. */
  private static final long BUSY_MS = 1_000;

  private Optional<String> model = Optional.empty();
  private long sinceMs;

  void begin(Optional<String> chosen, long now) {
    model = chosen;
    sinceMs = now;
  }

  /** Ends when the news of it lapses and requests come again. */
  void expire(long now) {
    if (now - sinceMs >= LASTS_MS) {
      model = Optional.empty();
    }
  }

  void evicted(String evicted) {
    model = model.filter(m -> !m.equals(evicted));
  }

  Optional<String> model() {
    return model;
  }

  /** Returns the model if it can be evicted now. */
  Optional<String> due(OrderContext context, long now) {
    return model.filter(m -> now - sinceMs >= BUSY_MS || !context.runs(m, ""));
  }
}
