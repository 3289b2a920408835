package io.kumquatspindle.control.placement;

import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.api.platform.OrderResult;
import io.kumquatspindle.api.record.DecisionRecord;
import io.kumquatspindle.engine.placement.LoadAction;
import java.util.function.Consumer;

/** Carries out the decisions of the placement controller. No method blocks. */
public interface PlacementActions {

  /**
   * Appends a record to the decisions stream.
   *
   * @param record the record
   * @param callback receives the result
   */
  void append(DecisionRecord record, Consumer<AppendResult> callback);

  /**
   * Sends a load order.
   *
   * @param order the order
   * @param callback receives the outcome
   */
  void load(LoadAction.SendLoad order, Consumer<OrderResult> callback);

  /**
   * Sends an unload order.
   *
   * @param order the order
   * @param callback receives the outcome
   */
  void unload(LoadAction.SendUnload order, Consumer<OrderResult> callback);

  /** Called when the published replicas have changed. */
  void placementChanged();
}
