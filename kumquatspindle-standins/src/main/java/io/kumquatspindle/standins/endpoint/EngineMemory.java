package io.kumquatspindle.standins.endpoint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;

/** Accelerator memory of an engine, its loaded artifacts and the counters of violations. */
final class EngineMemory {
  private final long memoryMb;
  private final Map<String, Slot> slots = new TreeMap<>();
  private final Map<String, Long> fencingNumbers = new HashMap<>();
  private final Map<String, Integer> running = new HashMap<>();
  private final Violations violations = new Violations();
  private String incarnation = UUID.randomUUID().toString();

  EngineMemory(long memoryMb) {
    this.memoryMb = memoryMb;
  }

  /** What a load order leads to. */
  enum Admission {
    START,
    JOIN,
    ALREADY_LOADED,
    NO_MEMORY,
    NO_MODEL
  }

  /** Compares a fencing number with the highest one of the artifact and remembers it. */
  synchronized boolean fence(String artifact, long number, boolean refuseOld) {
    long highest = fencingNumbers.getOrDefault(artifact, Long.MIN_VALUE);
    if (number < highest) {
      violations.oldFencingNumbers++;
      return !refuseOld;
    }
    fencingNumbers.put(artifact, number);
    return true;
  }

  synchronized Admission admit(String artifact, Optional<String> model, long mb, Runnable joined) {
    Slot s = slots.get(artifact);
    if (s != null) {
      if (s.loaded) {
        return Admission.ALREADY_LOADED;
      }
      s.listeners.add(joined);
      return Admission.JOIN;
    }
    if (model.isPresent() && !isLoaded(model.get())) {
      return Admission.NO_MODEL;
    }
    if (usedMb() + mb > memoryMb) {
      violations.memoryOvercommits++;
      return Admission.NO_MEMORY;
    }
    Slot slot = new Slot(mb, model);
    slot.listeners.add(joined);
    slots.put(artifact, slot);
    return Admission.START;
  }

  /** Ends a load and calls everyone who waits for it. */
  void finish(String artifact, String ofIncarnation, boolean success) {
    List<Runnable> listeners;
    synchronized (this) {
      Slot s = slots.get(artifact);
      if (s == null || s.loaded || !ofIncarnation.equals(incarnation)) {
        return; // The engine restarted or the load was cancelled meanwhile.
      }
      listeners = List.copyOf(s.listeners);
      s.listeners.clear();
      s.loaded = success;
      if (!success) {
        slots.remove(artifact);
      }
    }
    listeners.forEach(Runnable::run);
  }

  /** Unloads an artifact and, with a model, its adapters; a load in progress is cancelled. */
  void unload(String artifact) {
    List<Runnable> cancelled = new ArrayList<>();
    synchronized (this) {
      remove(artifact, cancelled);
      List<String> adapters =
          slots.entrySet().stream()
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
      slots.values().forEach(s -> cancelled.addAll(s.listeners));
      slots.clear();
      fencingNumbers.clear();
      running.clear();
    }
    cancelled.forEach(Runnable::run);
  }

  synchronized boolean isLoaded(String artifact) {
    return Optional.ofNullable(slots.get(artifact)).map(s -> s.loaded).orElse(false);
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

  /** Returns the running requests of each loaded artifact. */
  synchronized Map<String, Integer> loaded() {
    Map<String, Integer> result = new TreeMap<>();
    slots.forEach(
        (a, s) -> {
          if (s.loaded) {
            result.put(a, running.getOrDefault(a, 0));
          }
        });
    return result;
  }

  synchronized List<String> loading() {
    return slots.entrySet().stream()
        .filter(e -> !e.getValue().loaded)
        .map(Map.Entry::getKey)
        .toList();
  }

  synchronized long usedMb() {
    return slots.values().stream().mapToLong(s -> s.mb).sum();
  }

  synchronized Violations violations() {
    return new Violations(violations);
  }

  private void remove(String artifact, List<Runnable> cancelled) {
    Slot s = slots.remove(artifact);
    if (s != null) {
      cancelled.addAll(s.listeners);
      if (running.getOrDefault(artifact, 0) > 0) {
        violations.unloadsWhileRunning++;
      }
    }
  }

  private static final class Slot {
    private final long mb;
    private final Optional<String> model;
    private final List<Runnable> listeners = new ArrayList<>();
    private boolean loaded;

    Slot(long mb, Optional<String> model) {
      this.mb = mb;
      this.model = model;
    }
  }

  /** Counters of orders that a correct fleet does not send. */
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
