package io.kumquatspindle.engine.fleet;

import io.kumquatspindle.api.fleet.EngineInfo;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Inputs to an {@link OrderScheduler} that a test sets. */
final class TestOrderContext implements OrderContext {
  final Set<String> inProgress = new HashSet<>();
  final Set<String> unneeded = new HashSet<>();
  final Set<String> heldBack = new HashSet<>();
  final Set<String> urgent = new HashSet<>();
  final Set<String> surplus = new HashSet<>();
  final Map<String, Long> loadMs = new HashMap<>();
  final Map<String, Double> requestRates = new HashMap<>();

  @Override
  public double requestRate(String model) {
    return requestRates.getOrDefault(model, 0.0);
  }

  @Override
  public EngineInfo engine() {
    return TestEndpoints.engineInfo("a", "b", "c", "d");
  }

  @Override
  public long fencingNumber() {
    return 41;
  }

  @Override
  public long loadMs(String model) {
    return loadMs.getOrDefault(model, 1_000L);
  }

  @Override
  public boolean mayLoad(String model) {
    return !heldBack.contains(model);
  }

  @Override
  public double loadValue(String model) {
    return 1;
  }

  @Override
  public boolean replicaNeeded(String model) {
    return !unneeded.contains(model);
  }

  @Override
  public boolean urgent(String model) {
    return urgent.contains(model);
  }

  @Override
  public boolean surplus(String model) {
    return surplus.contains(model);
  }

  @Override
  public double keepValue(String model) {
    return 0.1;
  }

  @Override
  public boolean requestsInProgress(String model, String adapter) {
    return inProgress.contains(model);
  }
}
