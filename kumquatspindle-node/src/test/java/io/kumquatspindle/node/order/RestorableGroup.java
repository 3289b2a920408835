package io.kumquatspindle.node.order;

import io.kumquatspindle.engine.fleet.GroupGeneration;
import io.kumquatspindle.engine.fleet.StoreEra;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * The group of one failure domain in a store that can come back from an older copy: members expire,
 * and a partition passes to its next owner once the one before it has joined in the generation that
 * takes it away.
 */
final class RestorableGroup {
  static final int PARTITIONS = 8;

  private final AtomicLong now;
  private State state = new State(0, Map.of(), Map.of(), Map.of(), 0);
  private long era = 1;
  private boolean away;

  /** What the store loses. */
  record State(
      long generation,
      Map<String, Long> expiryMs,
      Map<Integer, String> wanted,
      Map<Integer, String> holders,
      int rotation) {}

  RestorableGroup(AtomicLong now) {
    this.now = now;
  }

  State copy() {
    return state;
  }

  void setAway(boolean unavailable) {
    away = unavailable;
  }

  /** Comes back from a copy, in a new era; its members have their whole time to join again. */
  void restore(State copy, long ttlMs) {
    Map<String, Long> expiryMs = new TreeMap<>(copy.expiryMs());
    expiryMs.replaceAll((member, ms) -> now.get() + ttlMs);
    state = new State(copy.generation(), expiryMs, copy.wanted(), copy.holders(), copy.rotation());
    era++;
    away = false;
  }

  /** Reassigns all partitions at once, without waiting for their holders. */
  void reassignAll() {
    distribute(state.expiryMs(), state.rotation() + 1);
    state =
        new State(
            state.generation(), state.expiryMs(), state.wanted(), state.wanted(), state.rotation());
  }

  /** Removes the members that have not joined in time. */
  void expire() {
    Map<String, Long> members = new TreeMap<>(state.expiryMs());
    if (!away && members.values().removeIf(ms -> ms < now.get())) {
      distribute(members, state.rotation());
    }
  }

  private void distribute(Map<String, Long> members, int rotation) {
    List<String> names = List.copyOf(members.keySet());
    Map<Integer, String> wanted = new HashMap<>();
    Map<Integer, String> holders = new HashMap<>(state.holders());
    holders.values().removeIf(h -> !members.containsKey(h));
    for (int p = 0; p < PARTITIONS && !names.isEmpty(); p++) {
      wanted.put(p, names.get((p + rotation) % names.size()));
      holders.putIfAbsent(p, wanted.get(p));
    }
    state = new State(state.generation() + 1, members, wanted, holders, rotation);
  }

  private Set<Integer> join(String member, long generation, long ttlMs) {
    Map<String, Long> members = new TreeMap<>(state.expiryMs());
    if (members.put(member, now.get() + ttlMs) == null) {
      distribute(members, state.rotation());
    } else {
      Map<Integer, String> holders = new HashMap<>(state.holders());
      if (generation >= state.generation()) {
        holders.replaceAll((p, h) -> h.equals(member) ? state.wanted().get(p) : h);
      }
      state = new State(state.generation(), members, state.wanted(), holders, state.rotation());
    }
    return state.holders().entrySet().stream()
        .filter(h -> h.getValue().equals(member))
        .map(Map.Entry::getKey)
        .filter(p -> state.wanted().get(p).equals(member))
        .collect(Collectors.toSet());
  }

  private void leave(String member) {
    Map<String, Long> members = new TreeMap<>(state.expiryMs());
    if (members.remove(member) != null) {
      distribute(members, state.rotation());
    }
  }

  /** Returns the store as one VM sees it; no call of a VM that is cut off is answered. */
  GroupOnlyStore viewOf(StoreEra observer, BooleanSupplier cutOff) {
    return new GroupOnlyStore() {
      private boolean answers() {
        boolean answered = !away && !cutOff.getAsBoolean();
        if (answered) {
          observer.observe(era);
        }
        return answered;
      }

      @Override
      public void join(
          String group,
          String member,
          long generation,
          long ttlMs,
          Consumer<Optional<Joined>> callback) {
        if (answers()) {
          Set<Integer> assigned = RestorableGroup.this.join(member, generation, ttlMs);
          GroupGeneration joined = new GroupGeneration(era, state.generation());
          callback.accept(Optional.of(new Joined(joined, assigned)));
        } else {
          callback.accept(Optional.empty());
        }
      }

      @Override
      public void leave(String group, String member, Runnable callback) {
        if (answers()) {
          RestorableGroup.this.leave(member);
        }
        callback.run();
      }

      @Override
      public void partitionOwners(String group, Consumer<Optional<Map<Integer, String>>> callback) {
        callback.accept(answers() ? Optional.of(new HashMap<>(state.holders())) : Optional.empty());
      }

      @Override
      public int partitionCount() {
        return PARTITIONS;
      }
    };
  }
}
