package io.kumquatspindle.node.order;

import io.kumquatspindle.api.fleet.EngineInfo;
import io.kumquatspindle.api.fleet.ModelInfo;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.engine.fleet.OrderContext;
import io.kumquatspindle.engine.fleet.OrderScheduler;
import io.kumquatspindle.engine.fleet.PlacementChooser;
import io.kumquatspindle.engine.fleet.ReplicaPolicy;
import io.kumquatspindle.node.NodeContext;

/** Gives the order decisions of one endpoint access to the shared state of this VM. */
final class EndpointContext implements OrderContext {
  private final NodeContext node;
  private final PartitionOwnership ownership;
  private final ReplicaPolicy replicaPolicy;
  private final StoreLoadCoordinator storeLoads;
  private final Endpoint endpoint;
  private final OrderScheduler orders;
  private final EngineInfo engine;

  EndpointContext(
      NodeContext node,
      PartitionOwnership ownership,
      ReplicaPolicy replicaPolicy,
      StoreLoadCoordinator storeLoads,
      Endpoint endpoint,
      OrderScheduler orders,
      EngineInfo engine) {
    this.node = node;
    this.ownership = ownership;
    this.replicaPolicy = replicaPolicy;
    this.storeLoads = storeLoads;
    this.endpoint = endpoint;
    this.orders = orders;
    this.engine = engine;
  }

  @Override
  public EngineInfo engine() {
    return engine;
  }

  @Override
  public long fencingNumber() {
    return ownership.fencingNumber();
  }

  @Override
  public long loadMs(String model) {
    ModelInfo info = engine.models().get(model);
    long estimateMs = PlacementChooser.loadMs(endpoint.entry(), info);
    return estimateMs == info.storeLoadMs() && orders.heldBefore(model)
        ? info.memoryLoadMs()
        : estimateMs;
  }

  @Override
  public boolean mayLoad(String model) {
    ModelInfo info = engine.models().get(model);
    boolean fromStore = loadMs(model) == info.storeLoadMs();
    return !fromStore || storeLoads.mayLoad(endpoint.id(), model) || mayLoadForRegion(model);
  }

  private boolean mayLoadForRegion(String model) {
    return neededForRegion(model)
        && node.activeLoads().mayStartFromStore(node.demand().rate(model, node.now()), node.now());
  }

  private boolean neededForRegion(String model) {
    return node.restrictedLoads().contains(endpoint.id(), model, node.now());
  }

  @Override
  public double requestRate(String model) {
    return node.demand().rate(model, node.now());
  }

  @Override
  public double loadValue(String model) {
    return replicaPolicy.loadValue(endpoint.entry().service(), model, node.now());
  }

  @Override
  public boolean replicaNeeded(String model) {
    return neededForRegion(model)
        || replicaPolicy.replicaNeeded(endpoint, model, loadMs(model), node.now());
  }

  @Override
  public boolean urgent(String model) {
    return replicaPolicy.urgent(endpoint.entry().service(), model, node.now());
  }

  @Override
  public boolean surplus(String model) {
    return replicaPolicy.surplus(endpoint, model, node.now());
  }

  @Override
  public double keepValue(String model) {
    return replicaPolicy.keepValue(endpoint, model, node.now());
  }

  @Override
  public boolean requestsInProgress(String model, String adapter) {
    return adapter.isEmpty()
        ? node.activeRequests().inProgress(endpoint.id(), model, node.now())
        : node.activeRequests().inProgress(endpoint.id(), model, adapter, node.now());
  }
}
