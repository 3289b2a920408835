package io.kumquatspindle.engine.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * The models and adapters whose load is requested at one endpoint, and the order in which they are
 * loaded.
 */
final class RequestedLoads {
  private final Map<String, Request> byKey = new LinkedHashMap<>();

  /**
   * A requested load.
   *
   * @param model name of the model
   * @param adapter name of the adapter, or an empty string
   * @param firstRequestedMs time of the first request, in ms
   * @param lastRequestedMs time of the latest request, in ms
   * @param goalMs time by which the first caller should be served, in ms
   */
  record Request(
      String model, String adapter, long firstRequestedMs, long lastRequestedMs, long goalMs) {
    private Request renew(long newerGoalMs, long now) {
      // A goal that has already passed is replaced by the newer goal, which may still be met.
      long goal = goalMs < now ? newerGoalMs : Math.min(goalMs, Math.max(newerGoalMs, now));
      return new Request(model, adapter, firstRequestedMs, now, goal);
    }

    /** Returns the ratio of waiting time and load time to the load time, weighted by demand. */
    private double responseRatio(OrderContext context, long now) {
      boolean known = context.engine().models().containsKey(model);
      double loadMs = known ? Math.max(1, context.loadMs(model)) : 1;
      return (1 + context.requestRate(model)) * (1 + (now - firstRequestedMs) / loadMs);
    }

    private boolean canMeetGoal(OrderContext context, long now) {
      return context.engine().models().containsKey(model) && now + context.loadMs(model) <= goalMs;
    }
  }

  void add(String model, String adapter, long goalMs, long now) {
    byKey.merge(
        key(model, adapter),
        new Request(model, adapter, now, now, goalMs),
        (before, newer) -> before.renew(goalMs, now));
  }

  void remove(String model, String adapter) {
    byKey.remove(key(model, adapter));
  }

  void expire(long beforeMs) {
    byKey.values().removeIf(r -> r.lastRequestedMs() < beforeMs);
  }

  int size() {
    return byKey.size();
  }

  boolean isEmpty() {
    return byKey.isEmpty();
  }

  Set<String> models() {
    return byKey.values().stream().map(Request::model).collect(Collectors.toSet());
  }

  /** Returns the load times, in ms, of the accepted models whose load may start. */
  Map<String, Integer> loadMsByModel(OrderContext context, Predicate<String> accepted) {
    Map<String, Integer> loadMs = new HashMap<>();
    for (String m : models()) {
      boolean known = context.engine().models().containsKey(m);
      if (known && accepted.test(m) && context.mayLoad(m)) {
        loadMs.put(m, (int) context.loadMs(m));
      }
    }
    return loadMs;
  }

  /**
   * Returns all requested loads: first those for models that are already held, then urgent models,
   * then those whose goal can still be met, by earliest goal, and then the others by response
   * ratio, weighted by demand: a load of a second that many callers wait for goes before one of
   * several seconds that a single caller wants, unless that one has waited for long.
   */
  List<Request> byUrgency(Predicate<String> held, OrderContext context, long now) {
    List<Request> ordered = new ArrayList<>(byKey.values());
    ordered.sort(
        Comparator.<Request>comparingInt(r -> priority(r, held, context, now))
            .thenComparingDouble(
                r -> r.canMeetGoal(context, now) ? r.goalMs() : -r.responseRatio(context, now)));
    return ordered;
  }

  private static int priority(
      Request request, Predicate<String> held, OrderContext context, long now) {
    if (held.test(request.model())) {
      return 0;
    }
    if (context.urgent(request.model())) {
      return 1;
    }
    return request.canMeetGoal(context, now) ? 2 : 3;
  }

  private static String key(String model, String adapter) {
    return model + "/" + adapter;
  }
}
