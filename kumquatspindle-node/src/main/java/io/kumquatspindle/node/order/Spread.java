package io.kumquatspindle.node.order;

import io.kumquatspindle.api.fleet.EngineInfo;
import io.kumquatspindle.api.fleet.ModelInfo;
import io.kumquatspindle.api.fleet.ServiceInfo;
import io.kumquatspindle.engine.fleet.CopyPolicy;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.engine.fleet.PlacementChooser;
import io.kumquatspindle.node.NodeContext;
import java.util.List;

/**
 * Wants copies of models whose demand outgrows those that there are. One VM of a failure domain
 * looks after a model, the one that holds the partition of its name, so that this does not cost
 * each VM the same.
 */
final class Spread {
  /**
   * Time in which a copy is wanted that nobody waits for, in ms; more than the goals of callers.
   */
  static final long GOAL_MS = 10_000;

  private final NodeContext node;
  private final Owners owners;
  private final CopyPolicy copies;
  private final PlacementChooser chooser;
  private final Wanted wanted;

  /** Gets what is wanted. */
  interface Wanted {
    /**
     * Takes a want.
     *
     * @param endpoint where a model is wanted
     * @param model name of the model
     * @param adapter name of the adapter, or empty text
     * @param goalMs when it should be there, in ms
     */
    void at(Endpoint endpoint, String model, String adapter, long goalMs);
  }

  Spread(
      NodeContext node, Owners owners, CopyPolicy copies, PlacementChooser chooser, Wanted wanted) {
    this.node = node;
    this.owners = owners;
    this.copies = copies;
    this.chooser = chooser;
    this.wanted = wanted;
  }

  void tick() {
    String domain = node.settings().domain();
    long now = node.now();
    for (ServiceInfo s : node.configuration().map(c -> c.services()).orElse(List.of())) {
      for (ModelInfo m : s.engine().map(e -> e.models().values()).orElse(List.of())) {
        if (node.demand().rate(m.name(), now) >= CopyPolicy.HOT_PER_S
            && owners.holds(m.name(), domain)
            && copies.copies(s.name(), m.name(), now) > 0
            && copies.scarce(s.name(), m.name(), domain, now)) {
          copy(s.name(), s.engine().orElseThrow(), m, now);
        }
      }
    }
  }

  private void copy(String service, EngineInfo engine, ModelInfo model, long now) {
    chooser
        .chooseCopy(service, engine, model.name(), node.settings().domain(), now)
        .filter(e -> node.loadQueues().backlogMs(e.id(), now) == 0)
        .filter(e -> copies.needed(e, model.name(), PlacementChooser.loadMs(e.entry(), model), now))
        .ifPresent(e -> wanted.at(e, model.name(), "", now + GOAL_MS));
  }
}
