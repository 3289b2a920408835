package io.kumquatspindle.engine.fleet;

import io.kumquatspindle.api.fleet.EngineInfo;
import io.kumquatspindle.api.fleet.LoadedModel;
import io.kumquatspindle.api.fleet.ModelInfo;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Models and adapters that one endpoint holds, with the time of their last use. */
final class Residents {
  /** Time after its use in which an adapter is not evicted: requests for it may be on their way. */
  private static final long ADAPTER_IN_USE_MS = 1_500;

  /** Time after its load in which a model is not evicted, so that who waited is served. */
  private static final long MODEL_IN_USE_MS = 500;

  private final Map<String, Resident> byModel = new HashMap<>();
  private final Set<String> heldBefore = new HashSet<>();

  private static final class Resident {
    private final Map<String, Long> adapters = new HashMap<>();
    private long usedMs;

    private Resident(long usedMs) {
      this.usedMs = usedMs;
    }
  }

  /** An adapter of a model. */
  record Adapter(String model, String adapter) {}

  /** Tells whether a model is held, and the adapter unless its name is empty. */
  boolean holds(String model, String adapter) {
    Resident r = byModel.get(model);
    return r != null && (adapter.isEmpty() || r.adapters.containsKey(adapter));
  }

  /** Tells whether a model was held at any time, so that the endpoint's disk has a copy. */
  boolean heldBefore(String model) {
    return heldBefore.contains(model);
  }

  void used(String model, String adapter, long now) {
    Resident r = byModel.get(model);
    if (r != null) {
      r.usedMs = now;
      r.adapters.computeIfPresent(adapter, (a, t) -> now);
    }
  }

  void add(String model, long now) {
    heldBefore.add(model);
    byModel.computeIfAbsent(model, m -> new Resident(now)).usedMs = now;
  }

  void remove(String model) {
    byModel.remove(model);
  }

  void addAdapter(String model, String adapter, long now) {
    Resident r = byModel.get(model);
    if (r != null) {
      r.adapters.put(adapter, now);
    }
  }

  void removeAdapter(String model, String adapter) {
    Resident r = byModel.get(model);
    if (r != null) {
      r.adapters.remove(adapter);
    }
  }

  /** Replaces all by what the endpoint reports. */
  void replace(List<LoadedModel> models, long now) {
    Set<String> names = new HashSet<>();
    for (LoadedModel m : models) {
      names.add(m.name());
      Resident r = byModel.computeIfAbsent(m.name(), n -> new Resident(now));
      r.adapters.keySet().retainAll(m.adapters());
      m.adapters().forEach(a -> r.adapters.putIfAbsent(a, now));
    }
    byModel.keySet().retainAll(names);
    heldBefore.addAll(names);
  }

  int adapters() {
    return byModel.values().stream().mapToInt(r -> r.adapters.size()).sum();
  }

  /** Returns the memory that models and adapters take, in MB. */
  double usedMb(EngineInfo engine) {
    double mb = 0;
    for (Map.Entry<String, Resident> r : byModel.entrySet()) {
      ModelInfo m = engine.models().get(r.getKey());
      // A model that the configuration no longer names still takes room; its size is not known.
      mb += m == null ? engine.weightMemoryMb() : m.weightsMb();
      mb += m == null ? 0 : m.adapterMb() * r.getValue().adapters.size();
    }
    return mb;
  }

  /** Picks the idle model whose loss costs callers least, if that is less than a limit. */
  Optional<String> victim(OrderContext context, double limit, long now) {
    String best = null;
    double bestValue = limit;
    for (Map.Entry<String, Resident> r : byModel.entrySet()) {
      double value = context.keepValue(r.getKey());
      boolean idle = now - r.getValue().usedMs >= MODEL_IN_USE_MS && !context.runs(r.getKey(), "");
      if (idle && value < bestValue) {
        best = r.getKey();
        bestValue = value;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Picks the model in use whose loss costs callers least, among those that may go all the same.
   */
  Optional<String> busySpare(OrderContext context, double limit) {
    return byModel.keySet().stream()
        .filter(context::spare)
        .filter(m -> context.keepValue(m) < limit)
        .min(Comparator.comparingDouble(context::keepValue));
  }

  /** Picks the idle adapter that was not used for longest. */
  Optional<Adapter> oldestAdapter(OrderContext context, long now) {
    Adapter best = null;
    long bestMs = now - ADAPTER_IN_USE_MS;
    for (Map.Entry<String, Resident> r : byModel.entrySet()) {
      for (Map.Entry<String, Long> a : r.getValue().adapters.entrySet()) {
        if (a.getValue() <= bestMs && !context.runs(r.getKey(), a.getKey())) {
          best = new Adapter(r.getKey(), a.getKey());
          bestMs = a.getValue();
        }
      }
    }
    return Optional.ofNullable(best);
  }
}
