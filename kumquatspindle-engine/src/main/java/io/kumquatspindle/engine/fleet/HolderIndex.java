package io.kumquatspindle.engine.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Cache of the endpoints that hold a model, invalidated when one of them changes. Some decisions
 * look up the holders of each model of each endpoint, which without the cache would take time
 * quadratic in the number of endpoints. Not thread-safe: confined to one owner thread.
 */
final class HolderIndex {
  /**
   * Maximum number of cached model names. Callers may request arbitrary names; 920 models are
   * expected.
   */
  static final int MAX_MODELS = 2_000;

  private final Map<String, Map<String, CachedHolders>> byModel = new HashMap<>();
  private final Map<String, List<Endpoint>> byService = new HashMap<>();

  /** The holders of a model, and when the first update about one of the endpoints expires. */
  private record CachedHolders(List<Endpoint> holders, long untilMs) {}

  /** Returns the number of cached model names. */
  int size() {
    return byModel.size();
  }

  /** Invalidates the cached holders of a model. */
  void invalidate(String model) {
    byModel.remove(model);
  }

  /** Invalidates the whole cache. */
  void clear() {
    byModel.clear();
    byService.clear();
  }

  List<Endpoint> available(String service, Supplier<List<Endpoint>> find) {
    return byService.computeIfAbsent(service, s -> find.get());
  }

  List<Endpoint> holders(String service, String model, List<Endpoint> candidates, long now) {
    if (byModel.size() >= MAX_MODELS) {
      byModel.clear();
    }
    Map<String, CachedHolders> services = byModel.computeIfAbsent(model, m -> new HashMap<>());
    CachedHolders cached = services.get(service);
    if (cached == null || now >= cached.untilMs()) {
      List<Endpoint> holders = candidates.stream().filter(e -> e.holds(model, "", now)).toList();
      long until =
          candidates.stream().mapToLong(e -> e.updateValidUntilMs(model, now)).min().orElse(now);
      cached = new CachedHolders(holders, until);
      services.put(service, cached);
    }
    return cached.holders();
  }
}
