package io.kumquatspindle.engine.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Which endpoints hold a model, found once and kept until one of them changes. Answers decisions
 * that ask for the holders of each model of each endpoint, whose work would else grow with the
 * square of the endpoints. One owner thread.
 */
final class HolderIndex {
  /** Names that are kept, at most; callers may ask for any name, and 920 models are expected. */
  static final int MOST_MODELS = 2_000;

  private final Map<String, Map<String, Found>> byModel = new HashMap<>();
  private final Map<String, List<Endpoint>> byService = new HashMap<>();

  /** Holders, and when a passing belief about one of them ends. */
  private record Found(List<Endpoint> holders, long untilMs) {}

  /** Returns the number of names that are kept. */
  int size() {
    return byModel.size();
  }

  /** Forgets who holds a model. */
  void changed(String model) {
    byModel.remove(model);
  }

  /** Forgets everything. */
  void clear() {
    byModel.clear();
    byService.clear();
  }

  List<Endpoint> of(String service, Supplier<List<Endpoint>> find) {
    return byService.computeIfAbsent(service, s -> find.get());
  }

  List<Endpoint> holders(String service, String model, List<Endpoint> all, long now) {
    if (byModel.size() >= MOST_MODELS) {
      byModel.clear();
    }
    Map<String, Found> services = byModel.computeIfAbsent(model, m -> new HashMap<>());
    Found found = services.get(service);
    if (found == null || now >= found.untilMs()) {
      List<Endpoint> holders = all.stream().filter(e -> e.holds(model, "", now)).toList();
      long until = all.stream().mapToLong(e -> e.newsUntilMs(model, now)).min().orElse(now);
      found = new Found(holders, until);
      services.put(service, found);
    }
    return found.holders();
  }
}
