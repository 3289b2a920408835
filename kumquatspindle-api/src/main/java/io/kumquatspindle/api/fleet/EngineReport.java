package io.kumquatspindle.api.fleet;

import java.util.List;

/**
 * What a model engine answers when it is asked for its state; some hundred ms old.
 *
 * @param models models that it holds
 * @param busy whether it carries out an order for a model
 * @param orders orders accepted since its start
 */
public record EngineReport(List<HeldModel> models, boolean busy, long orders) {

  /** Copies the list. */
  public EngineReport {
    models = List.copyOf(models);
  }
}
