package io.kumquatspindle.control.placement;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.api.platform.EndpointOrders;
import io.kumquatspindle.api.platform.OrderResult;
import io.kumquatspindle.api.record.DecisionRecord;
import io.kumquatspindle.control.log.LogAppender;
import io.kumquatspindle.engine.placement.LoadAction;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

/** Placement actions that append to the platform's log and send orders to endpoints. */
public final class PlatformActions implements PlacementActions {
  private final LogAppender appender;
  private final EndpointOrders orders;
  private final OrderExecutor executor;
  private final Supplier<Configuration> configuration;
  private final Runnable onPlacementChanged;

  /**
   * Creates actions.
   *
   * @param appender appends to the decisions stream
   * @param orders sends orders
   * @param executor runs the orders
   * @param configuration returns the active configuration
   * @param onPlacementChanged called when the published replicas have changed
   */
  public PlatformActions(
      LogAppender appender,
      EndpointOrders orders,
      OrderExecutor executor,
      Supplier<Configuration> configuration,
      Runnable onPlacementChanged) {
    this.appender = appender;
    this.orders = orders;
    this.executor = executor;
    this.configuration = configuration;
    this.onPlacementChanged = onPlacementChanged;
  }

  @Override
  public void append(DecisionRecord record, Consumer<AppendResult> callback) {
    appender.append(Json.encode(record), callback);
  }

  @Override
  public void load(LoadAction.SendLoad order, Consumer<OrderResult> callback) {
    send(
        order.endpoint(),
        e -> orders.load(e, order.artifact(), order.model(), order.memoryMb(), order.decision()),
        callback);
  }

  @Override
  public void unload(LoadAction.SendUnload order, Consumer<OrderResult> callback) {
    send(order.endpoint(), e -> orders.unload(e, order.artifact(), order.decision()), callback);
  }

  @Override
  public void placementChanged() {
    onPlacementChanged.run();
  }

  private void send(
      EndpointName endpoint,
      Function<EndpointSpec, OrderResult> order,
      Consumer<OrderResult> callback) {
    EndpointSpec spec = configuration.get().endpoints().get(endpoint);
    if (spec == null) {
      callback.accept(new OrderResult.Refused("the endpoint is not in the configuration"));
      return;
    }
    executor.execute(() -> order.apply(spec), callback);
  }
}
