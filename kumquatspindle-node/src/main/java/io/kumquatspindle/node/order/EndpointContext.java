package io.kumquatspindle.node.order;

import io.kumquatspindle.api.fleet.EngineInfo;
import io.kumquatspindle.api.fleet.ModelInfo;
import io.kumquatspindle.engine.fleet.ActiveLoads;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.engine.fleet.OrderContext;
import io.kumquatspindle.engine.fleet.OrderScheduler;
import io.kumquatspindle.engine.fleet.PlacementChooser;
import io.kumquatspindle.engine.fleet.ReplicaPolicy;
import io.kumquatspindle.node.NodeContext;

/** What the decisions about one endpoint's orders need of the rest of this VM. */
final class EndpointContext implements OrderContext {
  private final NodeContext node;
  private final Owners owners;
  private final ReplicaPolicy copies;
  private final ActiveLoads loads;
  private final Endpoint endpoint;
  private final OrderScheduler book;
  private final EngineInfo engine;

  EndpointContext(
      NodeContext node,
      Owners owners,
      ReplicaPolicy copies,
      ActiveLoads loads,
      Endpoint endpoint,
      OrderScheduler book,
      EngineInfo engine) {
    this.node = node;
    this.owners = owners;
    this.copies = copies;
    this.loads = loads;
    this.endpoint = endpoint;
    this.book = book;
    this.engine = engine;
  }

  @Override
  public EngineInfo engine() {
    return engine;
  }

  @Override
  public long fencingNumber() {
    return owners.fence();
  }

  @Override
  public long loadMs(String model) {
    ModelInfo m = engine.models().get(model);
    long ms = PlacementChooser.loadMs(endpoint.entry(), m);
    return ms == m.storeMs() && book.heldBefore(model) ? m.memoryMs() : ms;
  }

  @Override
  public boolean mayLoad(String model) {
    ModelInfo m = engine.models().get(model);
    boolean store = loadMs(model) == m.storeMs();
    // A model that many callers ask for does not wait behind those that one asked for.
    int share = node.demand().rate(model, node.now()) >= ReplicaPolicy.HOT_PER_S ? 2 : 1;
    return !store || loads.storeLoadCount(node.now()) < share * node.settings().storeLoadsAtOnce();
  }

  @Override
  public double loadValue(String model) {
    return copies.loadValue(endpoint.entry().service(), model, node.now());
  }

  @Override
  public boolean replicaNeeded(String model) {
    return copies.replicaNeeded(endpoint, model, loadMs(model), node.now());
  }

  @Override
  public boolean urgent(String model) {
    return copies.urgent(endpoint.entry().service(), model, node.now());
  }

  @Override
  public boolean surplus(String model) {
    return copies.surplus(endpoint, model, node.now());
  }

  @Override
  public double keepValue(String model) {
    return copies.keepValue(endpoint, model, node.now());
  }

  @Override
  public boolean requestsInProgress(String model, String adapter) {
    return adapter.isEmpty()
        ? node.running().inProgress(endpoint.id(), model, node.now())
        : node.running().inProgress(endpoint.id(), model, adapter, node.now());
  }
}
