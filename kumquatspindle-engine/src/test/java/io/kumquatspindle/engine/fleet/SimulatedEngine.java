package io.kumquatspindle.engine.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** An engine of {@link LoadSimulation}: what it holds and loads, and its scheduler. */
final class SimulatedEngine {
  final OrderScheduler scheduler = new OrderScheduler();
  final Set<String> held = new HashSet<>();
  final Map<String, Long> busyUntilMs = new HashMap<>();
  String loading = "";
  boolean loadingFromStore;
  long loadStartMs;
  double remainingMs;
  long evictedMs;
  long orders;
}
