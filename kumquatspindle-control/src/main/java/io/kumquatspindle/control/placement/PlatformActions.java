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

/** Placement actions on the platform's log and on endpoints. */
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
   * @param executor threads for orders
   * @param configuration returns the configuration in force
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
  public void append(DecisionRecord record, Consumer<AppendResult> done) {
    appender.append(Json.encode(record), done);
  }

  @Override
  public void load(LoadAction.SendLoad o, Consumer<OrderResult> done) {
    send(
        o.endpoint(),
        e -> orders.load(e, o.artifact(), o.model(), o.memoryMb(), o.decision()),
        done);
  }

  @Override
  public void unload(LoadAction.SendUnload o, Consumer<OrderResult> done) {
    send(o.endpoint(), e -> orders.unload(e, o.artifact(), o.decision()), done);
  }

  @Override
  public void placementChanged() {
    onPlacementChanged.run();
  }

  private void send(
      EndpointName endpoint,
      Function<EndpointSpec, OrderResult> order,
      Consumer<OrderResult> done) {
    EndpointSpec spec = configuration.get().endpoints().get(endpoint);
    if (spec == null) {
      done.accept(new OrderResult.Refused("the endpoint is not in the configuration"));
      return;
    }
    executor.run(() -> order.apply(spec), done);
  }
}
