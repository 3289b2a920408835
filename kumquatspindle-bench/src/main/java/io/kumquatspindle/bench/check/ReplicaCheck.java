package io.kumquatspindle.bench.check;

import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.record.DecisionRecord;
import io.kumquatspindle.api.record.DecisionRecord.EndpointRestarted;
import io.kumquatspindle.api.record.DecisionRecord.LoadDecided;
import io.kumquatspindle.api.record.DecisionRecord.LoadFinished;
import io.kumquatspindle.api.record.DecisionRecord.UnloadFinished;
import io.kumquatspindle.engine.check.ReplicaHistoryChecker;
import io.kumquatspindle.engine.placement.ApplyOutcome;
import io.kumquatspindle.engine.placement.PlacementStateMachine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares the replicas that engines hold with the decisions in the log (C1), and their memory with
 * the reservations (C2).
 */
public final class ReplicaCheck {
  private final Map<EndpointName, Long> capacityMb;
  private final Map<Long, LoadDecided> accepted = new LinkedHashMap<>();
  private final Map<Long, LoadDecided> present = new LinkedHashMap<>();
  private final PlacementStateMachine fold = PlacementStateMachine.initial();
  private final ReplicaHistoryChecker model;

  /**
   * Creates a check of an empty log.
   *
   * @param capacityMb accelerator memory of each engine, in MB
   */
  public ReplicaCheck(Map<EndpointName, Long> capacityMb) {
    this.capacityMb = Map.copyOf(capacityMb);
    this.model = new ReplicaHistoryChecker(this.capacityMb);
  }

  /**
   * Applies the next record of the decisions stream.
   *
   * @param offset its offset
   * @param timeMs when the log took it
   * @param record the record
   */
  public void record(long offset, long timeMs, DecisionRecord record) {
    if (!(fold.apply(offset, timeMs, record) instanceof ApplyOutcome.Accepted)) {
      return;
    }
    if (record instanceof LoadDecided r) {
      accepted.put(offset, r);
      present.put(offset, r);
      model.loadDecided(offset, r.endpoint(), r.artifact(), r.memoryMb(), r.basis().maxReplicas());
    } else if (record instanceof LoadFinished r && !r.loaded()) {
      release(r.decision());
    } else if (record instanceof UnloadFinished r) {
      release(r.decision());
    } else if (record instanceof EndpointRestarted r) {
      r.lost().forEach(this::release);
    }
  }

  /**
   * Returns the number of accepted load decisions.
   *
   * @param artifact the artifact
   * @return how many, with those that have been released
   */
  public long decided(String artifact) {
    return accepted.values().stream().filter(d -> d.artifact().value().equals(artifact)).count();
  }

  /**
   * Checks the end of a run, when no order is under way.
   *
   * @param engines all engines
   * @return one line for each fault
   */
  public List<String> faults(List<EngineState> engines) {
    List<String> faults = new ArrayList<>(model.violations());
    for (EngineState e : engines) {
      if (e.violations() != 0) {
        faults.add(e.endpoint() + " counted " + e.violations() + " violations");
      }
      for (String artifact : e.held()) {
        if (!isIn(present, e.endpoint(), artifact)) {
          faults.add(e.endpoint() + " holds " + artifact + " without a decision");
        }
      }
      for (EngineState.LoadOrder o : e.loads()) {
        LoadDecided d = accepted.get(o.fencingNumber());
        if (d == null || !matches(d, e.endpoint(), o.artifact())) {
          faults.add(e.endpoint() + " got an order that nobody decided: " + o);
        }
      }
    }
    return faults;
  }

  /**
   * Checks two consecutive looks at all engines while the system runs. What an engine holds in both
   * looks it held between them, together with what the others hold in both.
   *
   * @param first the first look
   * @param second the second look, begun after the first has ended
   * @param maxReplicas replica limit of each artifact
   * @return one line for each fault
   */
  public static List<String> faults(
      List<EngineState> first, List<EngineState> second, Map<ArtifactName, Integer> maxReplicas) {
    Map<String, Integer> count = new HashMap<>();
    for (EngineState a : first) {
      for (EngineState b : second) {
        if (a.endpoint().equals(b.endpoint()) && a.incarnation().equals(b.incarnation())) {
          a.held().stream()
              .filter(b.held()::contains)
              .forEach(artifact -> count.merge(artifact, 1, Integer::sum));
        }
      }
    }
    List<String> faults = new ArrayList<>();
    maxReplicas.forEach(
        (artifact, limit) -> {
          int held = count.getOrDefault(artifact.value(), 0);
          if (held > limit) {
            faults.add(held + " replicas of " + artifact + " at once, limit " + limit);
          }
        });
    return faults;
  }

  private void release(long decision) {
    present.remove(decision);
    model.reservationReleased(decision);
  }

  private static boolean isIn(Map<Long, LoadDecided> decisions, String endpoint, String artifact) {
    return decisions.values().stream().anyMatch(d -> matches(d, endpoint, artifact));
  }

  private static boolean matches(LoadDecided d, String endpoint, String artifact) {
    return d.endpoint().value().equals(endpoint) && d.artifact().value().equals(artifact);
  }
}
