package io.kumquatspindle.engine.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** Models and adapters that are wanted at one endpoint, and the order in which they are served. */
final class Wants {
  private final Map<String, Want> byName = new LinkedHashMap<>();

  /**
   * A want.
   *
   * @param model name of the model
   * @param adapter name of the adapter, or empty text
   * @param sinceMs when it was told first, in ms
   * @param toldMs when it was told last, in ms
   * @param goalMs when the first caller should be served, in ms
   */
  record Want(String model, String adapter, long sinceMs, long toldMs, long goalMs) {
    private Want toldAgain(long newerGoalMs, long now) {
      // A caller whose goal is past does not hide one whose goal can still be met.
      long goal = goalMs < now ? newerGoalMs : Math.min(goalMs, Math.max(newerGoalMs, now));
      return new Want(model, adapter, sinceMs, now, goal);
    }

    private boolean attainable(OrderContext context, long now) {
      return context.engine().models().containsKey(model) && now + context.loadMs(model) <= goalMs;
    }
  }

  void add(String model, String adapter, long goalMs, long now) {
    byName.merge(
        name(model, adapter),
        new Want(model, adapter, now, now, goalMs),
        (before, newer) -> before.toldAgain(goalMs, now));
  }

  void remove(String model, String adapter) {
    byName.remove(name(model, adapter));
  }

  void forgetBefore(long beforeMs) {
    byName.values().removeIf(w -> w.toldMs() < beforeMs);
  }

  int size() {
    return byName.size();
  }

  boolean isEmpty() {
    return byName.isEmpty();
  }

  Set<String> models() {
    return byName.values().stream().map(Want::model).collect(Collectors.toSet());
  }

  /**
   * Returns all wants: those for models that are held first, then models that many callers miss,
   * then those whose goal can still be met by the earliest goal, then the others by age.
   */
  List<Want> byUrgency(Predicate<String> held, OrderContext context, long now) {
    List<Want> ordered = new ArrayList<>(byName.values());
    ordered.sort(
        Comparator.<Want>comparingInt(w -> group(w, held, context, now))
            .thenComparingLong(w -> w.attainable(context, now) ? w.goalMs() : w.sinceMs()));
    return ordered;
  }

  private static int group(Want w, Predicate<String> held, OrderContext context, long now) {
    if (held.test(w.model())) {
      return 0;
    }
    if (context.missed(w.model())) {
      return 1;
    }
    return w.attainable(context, now) ? 2 : 3;
  }

  private static String name(String model, String adapter) {
    return model + "/" + adapter;
  }
}
