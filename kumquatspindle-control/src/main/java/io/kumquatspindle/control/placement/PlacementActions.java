package io.kumquatspindle.control.placement;

import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.api.platform.OrderResult;
import io.kumquatspindle.api.record.DecisionRecord;
import io.kumquatspindle.engine.placement.LoadAction;
import java.util.function.Consumer;

/** Carries out what the placement controller decides. No method blocks. */
public interface PlacementActions {

  /**
   * Appends a record to the decisions stream.
   *
   * @param record the record
   * @param done takes the result
   */
  void append(DecisionRecord record, Consumer<AppendResult> done);

  /**
   * Sends a load order.
   *
   * @param order the order
   * @param done takes the outcome
   */
  void load(LoadAction.SendLoad order, Consumer<OrderResult> done);

  /**
   * Sends an unload order.
   *
   * @param order the order
   * @param done takes the outcome
   */
  void unload(LoadAction.SendUnload order, Consumer<OrderResult> done);

  /** Notes that the published replicas have changed. */
  void placementChanged();
}
