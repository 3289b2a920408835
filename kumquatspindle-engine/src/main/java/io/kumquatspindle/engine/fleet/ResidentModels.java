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

/** The models and adapters that one endpoint holds, with the times of their last use. */
final class ResidentModels {
  /**
   * Time after its last use during which an adapter is not evicted, since requests for it may be in
   * transit.
   */
  private static final long ADAPTER_PROTECTED_MS = 1_500;

  /**
   * Time after its load or last use during which a model is not evicted, so that the waiting
   * requests are served.
   */
  private static final long MODEL_PROTECTED_MS = 500;

  private final Map<String, ResidentModel> byModel = new HashMap<>();
  private final Set<String> heldBefore = new HashSet<>();

  private static final class ResidentModel {
    private final Map<String, Long> adapters = new HashMap<>();
    private long lastUsedMs;

    private ResidentModel(long usedMs) {
      this.lastUsedMs = usedMs;
    }
  }

  /** An adapter of a model. */
  record Adapter(String model, String adapter) {}

  /** Returns whether a model is held, and the adapter if its name is not empty. */
  boolean holds(String model, String adapter) {
    ResidentModel r = byModel.get(model);
    return r != null && (adapter.isEmpty() || r.adapters.containsKey(adapter));
  }

  /** Returns whether a model has been held at any time, so that the endpoint's disk has a copy. */
  boolean heldBefore(String model) {
    return heldBefore.contains(model);
  }

  void recordUse(String model, String adapter, long now) {
    ResidentModel r = byModel.get(model);
    if (r != null) {
      r.lastUsedMs = now;
      r.adapters.computeIfPresent(adapter, (a, t) -> now);
    }
  }

  void add(String model, long now) {
    heldBefore.add(model);
    byModel.computeIfAbsent(model, m -> new ResidentModel(now)).lastUsedMs = now;
  }

  void remove(String model) {
    byModel.remove(model);
  }

  void addAdapter(String model, String adapter, long now) {
    ResidentModel r = byModel.get(model);
    if (r != null) {
      r.adapters.put(adapter, now);
    }
  }

  void removeAdapter(String model, String adapter) {
    ResidentModel r = byModel.get(model);
    if (r != null) {
      r.adapters.remove(adapter);
    }
  }

  /** Replaces the contents by the state that the endpoint reports. */
  void replace(List<LoadedModel> models, long now) {
    Set<String> names = new HashSet<>();
    for (LoadedModel m : models) {
      names.add(m.name());
      ResidentModel r = byModel.computeIfAbsent(m.name(), n -> new ResidentModel(now));
      r.adapters.keySet().retainAll(m.adapters());
      m.adapters().forEach(a -> r.adapters.putIfAbsent(a, now));
    }
    byModel.keySet().retainAll(names);
    heldBefore.addAll(names);
  }

  int adapterCount() {
    return byModel.values().stream().mapToInt(r -> r.adapters.size()).sum();
  }

  /** Returns the memory used by models and adapters, in MB. */
  double usedMb(EngineInfo engine) {
    double mb = 0;
    for (Map.Entry<String, ResidentModel> r : byModel.entrySet()) {
      ModelInfo m = engine.models().get(r.getKey());
      // A model that was removed from the configuration still uses memory. Its size is unknown, so
      // that the whole memory counts as used.
      mb += m == null ? engine.weightMemoryMb() : m.weightsMb();
      mb += m == null ? 0 : m.adapterMb() * r.getValue().adapters.size();
    }
    return mb;
  }

  /** Returns the idle model with the lowest value, if that is less than a maximum. */
  Optional<String> victim(OrderContext context, double maxValue, long now) {
    String best = null;
    double bestValue = maxValue;
    for (Map.Entry<String, ResidentModel> r : byModel.entrySet()) {
      double value = context.keepValue(r.getKey());
      boolean idle =
          now - r.getValue().lastUsedMs >= MODEL_PROTECTED_MS
              && !context.requestsInProgress(r.getKey(), "");
      if (idle && value < bestValue) {
        best = r.getKey();
        bestValue = value;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns the surplus model with the lowest value, which may be evicted although it is in use, if
   * its value is less than a maximum.
   */
  Optional<String> surplusInUse(OrderContext context, double maxValue) {
    return byModel.keySet().stream()
        .filter(context::surplus)
        .filter(m -> context.keepValue(m) < maxValue)
        .min(Comparator.comparingDouble(context::keepValue));
  }

  /** Returns the least recently used adapter that is idle. */
  Optional<Adapter> leastRecentlyUsedAdapter(OrderContext context, long now) {
    Adapter best = null;
    long bestMs = now - ADAPTER_PROTECTED_MS;
    for (Map.Entry<String, ResidentModel> r : byModel.entrySet()) {
      for (Map.Entry<String, Long> a : r.getValue().adapters.entrySet()) {
        if (a.getValue() <= bestMs && !context.requestsInProgress(r.getKey(), a.getKey())) {
          best = new Adapter(r.getKey(), a.getKey());
          bestMs = a.getValue();
        }
      }
    }
    return Optional.ofNullable(best);
  }
}
