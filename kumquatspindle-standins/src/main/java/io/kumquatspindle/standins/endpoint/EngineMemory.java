package io.kumquatspindle.standins.endpoint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;

/** Accelerator memory of an engine, with its loaded artifacts and counters of violations. */
final class EngineMemory {
  private final long memoryMb;
  private final Map<String, ResidentArtifact> artifacts = new TreeMap<>();
  private final Map<String, Long> fencingNumbers = new HashMap<>();
  private final Map<String, Integer> running = new HashMap<>();
  private final Violations violations = new Violations();
  private String incarnation = UUID.randomUUID().toString();

  EngineMemory(long memoryMb) {
    this.memoryMb = memoryMb;
  }

  /** The result of a load order. */
  enum Admission {
    START,
    JOIN,
    ALREADY_LOADED,
    NO_MEMORY,
    NO_MODEL
  }

  /**
   * Compares a fencing number with the highest one seen for the artifact, and records it if it is
   * not lower. Returns whether the order may be executed.
   */
  synchronized boolean checkFencingNumber(String artifact, long number, boolean rejectStale) {
    long highest = fencingNumbers.getOrDefault(artifact, Long.MIN_VALUE);
    if (number < highest) {
      violations.oldFencingNumbers++;
      return !rejectStale;
    }
    fencingNumbers.put(artifact, number);
    return true;
  }

  synchronized Admission admit(
      String artifact, Optional<String> model, long mb, Runnable onLoadEnd) {
    ResidentArtifact existing = artifacts.get(artifact);
    if (existing != null) {
      if (existing.loaded) {
        return Admission.ALREADY_LOADED;
      }
      existing.listeners.add(onLoadEnd);
      return Admission.JOIN;
    }
    if (model.isPresent() && !isLoaded(model.get())) {
      return Admission.NO_MODEL;
    }
    if (usedMb() + mb > memoryMb) {
      violations.memoryOvercommits++;
      return Admission.NO_MEMORY;
    }
    ResidentArtifact created = new ResidentArtifact(mb, model);
    created.listeners.add(onLoadEnd);
    artifacts.put(artifact, created);
    return Admission.START;
  }

  /** Ends a load and calls the listeners that wait for it. */
  void finishLoad(String artifact, String ofIncarnation, boolean success) {
    List<Runnable> listeners;
    synchronized (this) {
      ResidentArtifact s = artifacts.get(artifact);
      if (s == null || s.loaded || !ofIncarnation.equals(incarnation)) {
        return; // The engine has restarted or the load has been cancelled in the meantime.
      }
      listeners = List.copyOf(s.listeners);
      s.listeners.clear();
      s.loaded = success;
      if (!success) {
        artifacts.remove(artifact);
      }
    }
    listeners.forEach(Runnable::run);
  }

  /** Unloads an artifact and, if it is a model, its adapters. Loads in progress are cancelled. */
  void unload(String artifact) {
    List<Runnable> cancelled = new ArrayList<>();
    synchronized (this) {
      remove(artifact, cancelled);
      List<String> adapters =
          artifacts.entrySet().stream()
              .filter(e -> e.getValue().model.equals(Optional.of(artifact)))
              .map(Map.Entry::getKey)
              .toList();
      adapters.forEach(a -> remove(a, cancelled));
    }
    cancelled.forEach(Runnable::run);
  }

  void restart() {
    List<Runnable> cancelled = new ArrayList<>();
    synchronized (this) {
      incarnation = UUID.randomUUID().toString();
      artifacts.values().forEach(s -> cancelled.addAll(s.listeners));
      artifacts.clear();
      fencingNumbers.clear();
      running.clear();
    }
    cancelled.forEach(Runnable::run);
  }

  synchronized boolean isLoaded(String artifact) {
    return Optional.ofNullable(artifacts.get(artifact)).map(s -> s.loaded).orElse(false);
  }

  synchronized void requestStarted(String artifact) {
    running.merge(artifact, 1, Integer::sum);
  }

  synchronized void requestEnded(String artifact, String ofIncarnation) {
    if (ofIncarnation.equals(incarnation)) {
      running.merge(artifact, -1, Integer::sum);
    }
  }

  synchronized String incarnation() {
    return incarnation;
  }

  /** Returns the number of running requests of each loaded artifact. */
  synchronized Map<String, Integer> loaded() {
    Map<String, Integer> result = new TreeMap<>();
    artifacts.forEach(
        (a, s) -> {
          if (s.loaded) {
            result.put(a, running.getOrDefault(a, 0));
          }
        });
    return result;
  }

  synchronized List<String> loading() {
    return artifacts.entrySet().stream()
        .filter(e -> !e.getValue().loaded)
        .map(Map.Entry::getKey)
        .toList();
  }

  synchronized long usedMb() {
    return artifacts.values().stream().mapToLong(s -> s.mb).sum();
  }

  synchronized Violations violations() {
    return new Violations(violations);
  }

  private void remove(String artifact, List<Runnable> cancelled) {
    ResidentArtifact s = artifacts.remove(artifact);
    if (s != null) {
      cancelled.addAll(s.listeners);
      if (running.getOrDefault(artifact, 0) > 0) {
        violations.unloadsWhileRunning++;
      }
    }
  }

  private static final class ResidentArtifact {
    private final long mb;
    private final Optional<String> model;
    private final List<Runnable> listeners = new ArrayList<>();
    private boolean loaded;

    ResidentArtifact(long mb, Optional<String> model) {
      this.mb = mb;
      this.model = model;
    }
  }

  /** Counters of orders that correct controls never send. */
  static final class Violations {
    private long memoryOvercommits;
    private long unloadsWhileRunning;
    private long oldFencingNumbers;

    Violations() {}

    Violations(Violations v) {
      memoryOvercommits = v.memoryOvercommits;
      unloadsWhileRunning = v.unloadsWhileRunning;
      oldFencingNumbers = v.oldFencingNumbers;
    }

    public long getMemoryOvercommits() {
      return memoryOvercommits;
    }

    public long getUnloadsWhileRunning() {
      return unloadsWhileRunning;
    }

    public long getOldFencingNumbers() {
      return oldFencingNumbers;
    }
  }
}
