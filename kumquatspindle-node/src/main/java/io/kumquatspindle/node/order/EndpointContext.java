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

/** What the decisions about one endpoint's orders need of the rest of this VM. */
final class EndpointContext implements OrderContext {
  private final NodeContext node;
  private final Owners owners;
  private final CopyPolicy copies;
  private final LoadBoard loads;
  private final Endpoint endpoint;
  private final OrderBook book;
  private final EngineInfo engine;

  EndpointContext(
      NodeContext node,
      Owners owners,
      CopyPolicy copies,
      LoadBoard loads,
      Endpoint endpoint,
      OrderBook book,
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
  public long fence() {
    return owners.fence();
  }

  @Override
  public long loadMs(String model) {
    ModelInfo m = engine.models().get(model);
    long ms = PlacementChooser.loadMs(endpoint.entry(), m);
    return ms == m.storeLoadMs() && book.heldBefore(model) ? m.memoryLoadMs() : ms;
  }

  @Override
  public boolean mayLoad(String model) {
    ModelInfo m = engine.models().get(model);
    boolean store = loadMs(model) == m.storeLoadMs();
    // A model that many callers ask for does not wait behind those that one asked for.
    int share = node.demand().rate(model, node.now()) >= CopyPolicy.HOT_PER_S ? 2 : 1;
    return !store || loads.fromStore(node.now()) < share * node.settings().storeLoadsAtOnce();
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
