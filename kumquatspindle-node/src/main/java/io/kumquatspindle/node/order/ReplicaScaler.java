package io.kumquatspindle.node.order;

import io.kumquatspindle.api.fleet.EngineInfo;
import io.kumquatspindle.api.fleet.ModelInfo;
import io.kumquatspindle.api.fleet.ServiceInfo;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.engine.fleet.PlacementChooser;
import io.kumquatspindle.engine.fleet.ReplicaPolicy;
import io.kumquatspindle.node.NodeContext;
import java.util.List;

/**
 * Requests further replicas of models whose demand exceeds the existing replicas. In each failure
 * domain only the VM that holds the partition of the model's name does so, which spares the other
 * VMs the work.
 */
final class ReplicaScaler {
  private final NodeContext node;
  private final PartitionOwnership ownership;
  private final ReplicaPolicy replicaPolicy;
  private final PlacementChooser chooser;
  private final LoadRequestHandler requests;

  /** Receives the load requests. */
  interface LoadRequestHandler {
    /**
     * Requests a load at an endpoint.
     *
     * @param endpoint the endpoint
     * @param model name of the model
     */
    void requestLoad(Endpoint endpoint, String model);
  }

  ReplicaScaler(
      NodeContext node,
      PartitionOwnership ownership,
      ReplicaPolicy replicaPolicy,
      PlacementChooser chooser,
      LoadRequestHandler requests) {
    this.node = node;
    this.ownership = ownership;
    this.replicaPolicy = replicaPolicy;
    this.chooser = chooser;
    this.requests = requests;
  }

  void tick() {
    String domain = node.settings().domain();
    long now = node.now();
    for (ServiceInfo s : node.configuration().map(c -> c.services()).orElse(List.of())) {
      for (ModelInfo m : s.engine().map(e -> e.models().values()).orElse(List.of())) {
        if (node.demand().rate(m.name(), now) >= ReplicaPolicy.HOT_PER_S
            && ownership.holds(m.name(), domain)
            && replicaPolicy.replicaCount(s.name(), m.name(), now) > 0
            && replicaPolicy.mayNeedReplica(s.name(), m.name(), domain, now)) {
          addReplica(s.name(), s.engine().orElseThrow(), m, now);
        }
      }
    }
  }

  private void addReplica(String service, EngineInfo engine, ModelInfo model, long now) {
    chooser
        .chooseForReplica(service, engine, model.name(), node.settings().domain(), now)
        .filter(e -> node.loadQueues().backlogMs(e.id(), now) == 0)
        .filter(
            e ->
                replicaPolicy.replicaNeeded(
                    e, model.name(), PlacementChooser.loadMs(e.entry(), model), now))
        .ifPresent(e -> requests.requestLoad(e, model.name()));
  }
}
