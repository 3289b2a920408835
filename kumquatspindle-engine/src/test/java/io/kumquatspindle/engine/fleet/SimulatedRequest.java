package io.kumquatspindle.engine.fleet;

/** A request that is waiting for a model or has been served. */
final class SimulatedRequest {
  final String model;
  final long atMs;
  final long goalMs;
  long servedMs = Long.MAX_VALUE;
  long lastPlacementMs = Long.MIN_VALUE / 2;

  SimulatedRequest(String model, long atMs, long goalMs) {
    this.model = model;
    this.atMs = atMs;
    this.goalMs = goalMs;
  }

  boolean goalMet() {
    return servedMs <= goalMs;
  }
}
