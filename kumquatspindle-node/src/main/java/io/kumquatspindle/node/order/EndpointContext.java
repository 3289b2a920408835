package io.kumquatspindle.node.order;

import io.kumquatspindle.api.fleet.EngineInfo;
import io.kumquatspindle.api.fleet.ModelInfo;
import io.kumquatspindle.engine.fleet.CopyPolicy;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.engine.fleet.LoadBoard;
import io.kumquatspindle.engine.fleet.OrderBook;
import io.kumquatspindle.engine.fleet.OrderContext;
import io.kumquatspindle.engine.fleet.PlacementChooser;
import io.kumquatspindle.node.NodeContext;

/** Gives the order decisions of one endpoint access to the shared state of this VM. */
final class EndpointContext implements OrderContext {
  private final NodeContext node;
  private final PartitionOwnership ownership;
  private final CopyPolicy copies;
  private final LoadBoard loads;
  private final Endpoint endpoint;
  private final OrderBook orders;
  private final EngineInfo engine;

  EndpointContext(
      NodeContext node,
      PartitionOwnership ownership,
      CopyPolicy copies,
      LoadBoard loads,
      Endpoint endpoint,
      OrderBook orders,
      EngineInfo engine) {
    this.node = node;
    this.ownership = ownership;
    this.copies = copies;
    this.loads = loads;
    this.endpoint = endpoint;
    this.orders = orders;
    this.engine = engine;
  }

  @Override
  public EngineInfo engine() {
    return engine;
  }

  @Override
  public long fence() {
    return ownership.fencingNumber();
  }

  @Override
  public long loadMs(String model) {
    ModelInfo info = engine.models().get(model);
    long estimateMs = PlacementChooser.loadMs(endpoint.entry(), info);
    return estimateMs == info.storeMs() && orders.heldBefore(model) ? info.memoryMs() : estimateMs;
  }

  @Override
  public boolean mayLoad(String model) {
    ModelInfo info = engine.models().get(model);
    boolean fromStore = loadMs(model) == info.storeMs();
    // Models in high demand may use twice the limit, so that their loads do not wait behind loads
    // of models that a single caller requested.
    int factor = node.demand().rate(model, node.now()) >= CopyPolicy.HOT_PER_S ? 2 : 1;
    return !fromStore || loads.fromStore(node.now()) < factor * node.settings().storeLoadsAtOnce();
  }

  @Override
  public double value(String model) {
    return copies.value(endpoint.entry().service(), model, node.now());
  }

  @Override
  public boolean needed(String model) {
    return copies.needed(endpoint, model, loadMs(model), node.now());
  }

  @Override
  public boolean missed(String model) {
    return copies.missed(endpoint.entry().service(), model, node.now());
  }

  @Override
  public boolean spare(String model) {
    return copies.spare(endpoint, model, node.now());
  }

  @Override
  public double keepValue(String model) {
    return copies.keepValue(endpoint, model, node.now());
  }

  @Override
  public boolean runs(String model, String adapter) {
    return adapter.isEmpty()
        ? node.running().runs(endpoint.id(), model, node.now())
        : node.running().runs(endpoint.id(), model, adapter, node.now());
  }
}
