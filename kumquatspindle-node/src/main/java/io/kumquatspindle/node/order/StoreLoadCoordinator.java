package io.kumquatspindle.node.order;

import io.kumquatspindle.api.fleet.FleetConfiguration;
import io.kumquatspindle.api.fleet.ServiceInfo;
import io.kumquatspindle.engine.fleet.ActiveLoads;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.engine.fleet.PlacementChooser;
import io.kumquatspindle.engine.fleet.ReplicaPolicy;
import io.kumquatspindle.engine.fleet.StoreLoadPlanner;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.peer.Peers;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * Assigns the loads from the weight store, which all endpoints share. One VM does so for all that
 * it reaches: the holder of a partition in the first failure domain that is not cut off. VMs that
 * decide for themselves would all use a free place at the store in the same moment, each for
 * another reason.
 */
final class StoreLoadCoordinator {
  /** Determines the partition whose holder assigns the loads. */
  private static final String PARTITION_KEY = "weight-store";

  /** Time within which an assigned load must begin, in ms; as long as a load request is valid. */
  static final long ASSIGNMENT_TTL_MS = OrderController.LOAD_REQUEST_TTL_MS;

  /** Time for which an endpoint that has not begun an assigned load gets no other model, in ms. */
  private static final long AVOID_MS = 10_000;

  /** Cycles of digests after which a new coordinator knows the loads in progress. */
  private static final int SETTLING_CYCLES = 2;

  private final NodeContext node;
  private final PartitionOwnership ownership;
  private final Peers peers;
  private final String self;
  private final StoreLoadPlanner planner;
  private final Supplier<Set<String>> fetchedModels;
  private final BiConsumer<Endpoint, String> sender;

  /** Loads that this VM has assigned and that have not begun, by endpoint. */
  private final Map<String, AssignedLoad> assigned = new HashMap<>();

  /** Loads assigned to the endpoints that this VM holds. */
  private final Map<String, Grant> granted = new HashMap<>();

  private final Map<String, Long> avoidedUntilMs = new HashMap<>();
  private Optional<String> coordinator = Optional.empty();
  private long coordinatorSinceMs;

  private record AssignedLoad(String service, String model, int replicasBefore, long untilMs) {}

  private record Grant(String model, long untilMs) {}

  /**
   * Creates a coordinator.
   *
   * @param node shared context
   * @param ownership the endpoints that each VM holds
   * @param peers the other VMs
   * @param self peer address of this VM
   * @param replicas the policy that determines the value of replicas
   * @param chooser chooses the endpoint of a load
   * @param fetchedModels returns models whose load has begun at any endpoint
   * @param sender sends an assigned load, by endpoint and model, to the holder of the endpoint
   */
  StoreLoadCoordinator(
      NodeContext node,
      PartitionOwnership ownership,
      Peers peers,
      String self,
      ReplicaPolicy replicas,
      PlacementChooser chooser,
      Supplier<Set<String>> fetchedModels,
      BiConsumer<Endpoint, String> sender) {
    this.node = node;
    this.ownership = ownership;
    this.peers = peers;
    this.self = self;
    this.fetchedModels = fetchedModels;
    this.sender = sender;
    this.planner =
        new StoreLoadPlanner(
            node.endpoints(), node.demand(), node.activeLoads(), replicas, chooser);
  }

  /** Determines the coordinator, and assigns loads if it is this VM; called periodically. */
  void tick() {
    long now = node.now();
    updateCoordinator(now);
    granted.values().removeIf(g -> now >= g.untilMs());
    removeBegunAndExpired(now);
    boolean settled = now - coordinatorSinceMs >= SETTLING_CYCLES * peers.digestCycleMs();
    if (coordinator.filter(self::equals).isEmpty()) {
      assigned.clear();
    } else if (settled) {
      assign(now);
    }
  }

  private void updateCoordinator(long now) {
    Optional<String> current = findCoordinator();
    if (!current.equals(coordinator)) {
      coordinator = current;
      coordinatorSinceMs = now;
      node.log().line("store_coordinator").field("peer", current.orElse("")).write();
    }
  }

  private Optional<String> findCoordinator() {
    Set<String> unreachable = peers.unreachableDomains();
    for (String domain : node.settings().domains().stream().sorted().toList()) {
      if (ownership.holds(PARTITION_KEY, domain)) {
        return Optional.of(self);
      }
      Optional<String> holder =
          ownership
              .holder(PARTITION_KEY, domain)
              .filter(h -> !unreachable.contains(domain) && peers.isReachable(h));
      if (holder.isPresent()) {
        return holder;
      }
    }
    return Optional.empty();
  }

  private void removeBegunAndExpired(long now) {
    assigned.forEach(
        (endpoint, load) -> {
          if (now >= load.untilMs()) {
            avoidedUntilMs.put(endpoint, now + AVOID_MS);
          }
        });
    assigned
        .entrySet()
        .removeIf(e -> now >= e.getValue().untilMs() || begun(e.getKey(), e.getValue(), now));
    avoidedUntilMs.values().removeIf(until -> now >= until);
  }

  /** Returns whether a load has begun, or is no longer needed as another endpoint has a replica. */
  private boolean begun(String endpoint, AssignedLoad load, long now) {
    return node.activeLoads()
            .loadAt(endpoint, now)
            .filter(l -> l.model().equals(load.model()))
            .isPresent()
        || replicas(load.service(), load.model(), now) > load.replicasBefore();
  }

  private int replicas(String service, String model, long now) {
    return node.endpoints().holders(service, model, now).size();
  }

  private void assign(long now) {
    ActiveLoads loads = node.activeLoads();
    Collection<ServiceInfo> services =
        node.configuration().map(FleetConfiguration::services).orElse(List.of());
    for (int free = freePlaces(loads, now); free > 0; free--) {
      Optional<StoreLoadPlanner.Assignment> next =
          planner.nextRequested(services, node.settings().domains(), this::unusable, now);
      if (next.isEmpty() && mayPrefetch(loads, now)) {
        next =
            planner.nextPrefetch(
                services, fetchedModels.get(), (e, m) -> unusable(e, m) || queued(e, now), now);
      }
      if (next.isEmpty()) {
        return;
      }
      assign(next.get(), now);
    }
  }

  private int freePlaces(ActiveLoads loads, long now) {
    return loads.storeLoadLimit() - loads.storeLoadCount(now) - assigned.size();
  }

  /** A load blocks all other orders of its endpoint for seconds, so demand lowers the limit. */
  private boolean mayPrefetch(ActiveLoads loads, long now) {
    return !node.demand().hasDemand() || loads.storeLoadCount(now) + assigned.size() == 0;
  }

  private boolean queued(String endpoint, long now) {
    return node.loadQueues().backlogMs(endpoint, now) > 0;
  }

  private boolean unusable(String endpoint, String model) {
    return assigned.containsKey(endpoint)
        || avoidedUntilMs.containsKey(endpoint)
        || assigned.values().stream().anyMatch(a -> a.model().equals(model))
        || node.endpoints().find(endpoint).filter(this::holderReachable).isEmpty();
  }

  private boolean holderReachable(Endpoint endpoint) {
    String domain = endpoint.entry().domain();
    return ownership.holds(endpoint.id(), domain)
        || ownership.holder(endpoint.id(), domain).filter(peers::isReachable).isPresent();
  }

  private void assign(StoreLoadPlanner.Assignment a, long now) {
    ActiveLoads loads = node.activeLoads();
    node.log()
        .line("store_load")
        .field("endpoint", a.endpoint().id())
        .field("model", a.model())
        .field("reason", a.reason().name().toLowerCase(Locale.ROOT))
        .field("unserved_per_s", String.format(Locale.ROOT, "%.3f", a.unservedPerS()))
        .field("candidates", a.candidates())
        .field("store_loads", loads.storeLoadCount(now))
        .field("assigned", assigned.size())
        .field("store_limit", loads.storeLoadLimit())
        .write();
    String service = a.endpoint().entry().service();
    assigned.put(
        a.endpoint().id(),
        new AssignedLoad(
            service, a.model(), replicas(service, a.model(), now), now + ASSIGNMENT_TTL_MS));
    sender.accept(a.endpoint(), a.model());
  }

  /**
   * Records that the coordinator has assigned a load to an endpoint that this VM holds.
   *
   * @param endpoint identity of the endpoint
   * @param model name of the model
   */
  void onAssigned(String endpoint, String model) {
    granted.put(endpoint, new Grant(model, node.now() + ASSIGNMENT_TTL_MS));
  }

  /**
   * Returns whether an endpoint may load a model from the weight store now. Without a coordinator,
   * each VM decides by the loads that it knows of.
   *
   * @param endpoint identity of an endpoint that this VM holds
   * @param model name of the model
   * @return whether the load is assigned, or nobody assigns loads and the store has a free place
   */
  boolean mayLoad(String endpoint, String model) {
    long now = node.now();
    if (coordinator.isEmpty()) {
      return node.activeLoads().mayStartFromStore(node.demand().rate(model, now), now);
    }
    Grant grant = granted.get(endpoint);
    return grant != null && grant.model().equals(model) && now < grant.untilMs();
  }
}
