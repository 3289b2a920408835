package io.kumquatspindle.engine.fleet;

import io.kumquatspindle.api.fleet.ModelInfo;
import io.kumquatspindle.api.fleet.ModelOrder;
import java.util.List;
import java.util.Optional;

/**
 * The load that one endpoint executes, and when to confirm it. Its order is sent again for that:
 * the engine answers that the load is in progress, or that it holds the model.
 */
final class LoadInProgress {
  /** Delay before a load that takes longer than estimated is confirmed again; then doubled. */
  private static final long MIN_PAUSE_MS = 60;

  /** Maximum delay between two attempts to confirm a load, in ms. */
  private static final long MAX_PAUSE_MS = 500;

  private Optional<String> model = Optional.empty();
  private long confirmAtMs;
  private long pauseMs;

  void begin(String loadedModel, long loadMs, long now) {
    model = Optional.of(loadedModel);
    confirmAtMs = now + loadMs;
    pauseMs = MIN_PAUSE_MS;
  }

  void end() {
    model = Optional.empty();
  }

  Optional<String> model() {
    return model;
  }

  /** Returns whether an order repeats that of the load. */
  boolean isConfirmedBy(ModelOrder order) {
    return order.load() && order.adapter().isEmpty() && model.equals(Optional.of(order.model()));
  }

  boolean mustBeConfirmed(long now) {
    return model.isPresent() && now >= confirmAtMs;
  }

  void confirmIn(long ms, long now) {
    confirmAtMs = now + ms;
  }

  /**
   * Handles that the load takes longer than estimated. If it takes much longer than that of a copy,
   * there was none, and the model is read from the weight store.
   */
  List<HoldingChange> continues(OrderContext context, long now) {
    String name = model.orElseThrow();
    boolean secondAttempt = pauseMs == 2 * MIN_PAUSE_MS;
    confirmIn(pauseMs, now);
    pauseMs = Math.min(MAX_PAUSE_MS, 2 * pauseMs);
    ModelInfo info = context.engine().models().get(name);
    boolean copyExpected = info != null && context.loadMs(name) < info.storeLoadMs();
    return secondAttempt && copyExpected
        ? List.of(new HoldingChange(name, "", HoldingChange.Kind.LOADING_FROM_STORE))
        : List.of();
  }
}
