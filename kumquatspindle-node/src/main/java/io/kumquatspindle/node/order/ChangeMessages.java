package io.kumquatspindle.node.order;

import io.kumquatspindle.api.fleet.ModelInfo;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.engine.fleet.HoldingChange;
import io.kumquatspindle.engine.fleet.PlacementChooser;
import io.kumquatspindle.node.peer.NodeMessage;
import java.util.Optional;

/** Creates the messages about changes that this VM makes at the endpoints that it holds. */
final class ChangeMessages {
  private ChangeMessages() {}

  /**
   * Creates the message about a change.
   *
   * @param endpoint the endpoint
   * @param change the change
   * @param model the model, if it is configured
   * @param heldBefore whether the endpoint has held the model before, so that it has a copy
   * @return the message, with the expected duration of a load
   */
  static NodeMessage.Changed of(
      Endpoint endpoint, HoldingChange change, Optional<ModelInfo> model, boolean heldBefore) {
    long storeMs = model.map(ModelInfo::storeLoadMs).orElse(0L);
    long estimateMs = model.map(m -> PlacementChooser.loadMs(endpoint.entry(), m)).orElse(0L);
    return switch (change.kind()) {
      case LOADING -> {
        boolean fromStore = model.isPresent() && estimateMs == storeMs && !heldBefore;
        yield message(endpoint, change, NodeMessage.Changed.Kind.LOADING, fromStore, estimateMs);
      }
      case LOADING_FROM_STORE ->
          message(endpoint, change, NodeMessage.Changed.Kind.LOADING, true, storeMs);
      case LOADED -> message(endpoint, change, NodeMessage.Changed.Kind.LOADED, false, 0);
      case EVICTED -> message(endpoint, change, NodeMessage.Changed.Kind.EVICTED, false, 0);
    };
  }

  private static NodeMessage.Changed message(
      Endpoint endpoint,
      HoldingChange change,
      NodeMessage.Changed.Kind kind,
      boolean fromStore,
      long forMs) {
    return new NodeMessage.Changed(
        endpoint.id(), change.model(), change.adapter(), kind, fromStore, forMs);
  }
}
