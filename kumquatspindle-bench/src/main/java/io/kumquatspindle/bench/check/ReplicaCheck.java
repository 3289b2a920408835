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
 * Checks the replicas that engines hold against the decisions in the log (condition C1), and the
 * memory of the engines against the reservations (condition C2).
 */
public final class ReplicaCheck {
  private final Map<EndpointName, Long> capacityMb;
  private final Map<Long, LoadDecided> acceptedLoads = new LinkedHashMap<>();
  private final Map<Long, LoadDecided> activeLoads = new LinkedHashMap<>();
  private final PlacementStateMachine fold = PlacementStateMachine.initial();
  private final ReplicaHistoryChecker model;

  /**
   * Creates a check that has seen no records of the log.
   *
   * @param capacityMb the accelerator memory of each engine, in MB
   */
  public ReplicaCheck(Map<EndpointName, Long> capacityMb) {
    this.capacityMb = Map.copyOf(capacityMb);
    this.model = new ReplicaHistoryChecker(this.capacityMb);
  }

  /**
   * Applies the next record of the decisions stream.
   *
   * @param offset the offset of the record
   * @param timeMs the time at which the log accepted the record
   * @param record the record
   */
  public void record(long offset, long timeMs, DecisionRecord record) {
    if (!(fold.apply(offset, timeMs, record) instanceof ApplyOutcome.Accepted)) {
      return;
    }
    if (record instanceof LoadDecided r) {
      acceptedLoads.put(offset, r);
      activeLoads.put(offset, r);
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
   * @return the number of decisions, including those whose replicas have been released
   */
  public long acceptedLoadCount(String artifact) {
    return acceptedLoads.values().stream()
        .filter(d -> d.artifact().value().equals(artifact))
        .count();
  }

  /**
   * Returns the violations at the end of a run, when no order is in progress.
   *
   * @param engines the states of all engines
   * @return one message per violation; empty if there is none
   */
  public List<String> violations(List<EngineState> engines) {
    List<String> violations = new ArrayList<>(model.violations());
    for (EngineState engine : engines) {
      if (engine.violations() != 0) {
        violations.add(engine.endpoint() + " counted " + engine.violations() + " violations");
      }
      for (String artifact : engine.held()) {
        if (!hasLoad(activeLoads, engine.endpoint(), artifact)) {
          violations.add(engine.endpoint() + " holds " + artifact + " without a decision");
        }
      }
      for (EngineState.LoadOrder order : engine.loads()) {
        LoadDecided d = acceptedLoads.get(order.fencingNumber());
        if (d == null || !matches(d, engine.endpoint(), order.artifact())) {
          violations.add(engine.endpoint() + " got an order that nobody decided: " + order);
        }
      }
    }
    return violations;
  }

  /**
   * Returns the violations in two consecutive snapshots of all engines, taken while the system
   * runs. An engine that holds an artifact in both snapshots held it in the time between them, so
   * all replicas found this way existed at the same time.
   *
   * @param first the first snapshot
   * @param second the second snapshot, started after the first one was complete
   * @param maxReplicas the replica limit of each artifact
   * @return one message per violation; empty if there is none
   */
  public static List<String> violations(
      List<EngineState> first, List<EngineState> second, Map<ArtifactName, Integer> maxReplicas) {
    Map<String, Integer> replicaCounts = new HashMap<>();
    for (EngineState a : first) {
      for (EngineState b : second) {
        if (a.endpoint().equals(b.endpoint()) && a.incarnation().equals(b.incarnation())) {
          a.held().stream()
              .filter(b.held()::contains)
              .forEach(artifact -> replicaCounts.merge(artifact, 1, Integer::sum));
        }
      }
    }
    List<String> violations = new ArrayList<>();
    maxReplicas.forEach(
        (artifact, limit) -> {
          int held = replicaCounts.getOrDefault(artifact.value(), 0);
          if (held > limit) {
            violations.add(held + " replicas of " + artifact + " at once, limit " + limit);
          }
        });
    return violations;
  }

  private void release(long decision) {
    activeLoads.remove(decision);
    model.reservationReleased(decision);
  }

  private static boolean hasLoad(
      Map<Long, LoadDecided> decisions, String endpoint, String artifact) {
    return decisions.values().stream().anyMatch(d -> matches(d, endpoint, artifact));
  }

  private static boolean matches(LoadDecided d, String endpoint, String artifact) {
    return d.endpoint().value().equals(endpoint) && d.artifact().value().equals(artifact);
  }
}
