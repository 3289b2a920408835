package io.kumquatspindle.api.fleet;

import java.util.List;

/**
 * The state reported by a model engine. It can be some hundred ms old.
 *
 * @param models models that it has loaded
 * @param busy whether it is executing an order for a model
 * @param acceptedOrders number of orders accepted since its start
 */
public record EngineReport(List<LoadedModel> models, boolean busy, long acceptedOrders) {

  /** Copies the list. */
  public EngineReport {
    models = List.copyOf(models);
  }
}
