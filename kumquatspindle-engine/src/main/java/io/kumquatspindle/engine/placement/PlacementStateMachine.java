package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.record.DecisionRecord;
import io.kumquatspindle.api.record.DecisionRecord.EndpointRestarted;
import io.kumquatspindle.api.record.DecisionRecord.LoadDecided;
import io.kumquatspindle.api.record.DecisionRecord.LoadFinished;
import io.kumquatspindle.api.record.DecisionRecord.LoadLimits;
import io.kumquatspindle.api.record.DecisionRecord.LoadTakenOver;
import io.kumquatspindle.api.record.DecisionRecord.UnloadDecided;
import io.kumquatspindle.api.record.DecisionRecord.UnloadFinished;
import io.kumquatspindle.engine.placement.Replica.State;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Optional;

/**
 * Computes replicas and reservations from the {@code decisions} stream. The state is a
 * deterministic function of the records in offset order, so all VMs at the same offset have the
 * same state. Not thread-safe.
 */
public final class PlacementStateMachine {
  private static final long MICROS_PER_MILLI = 1_000;
  private static final double MICROS_PER_SECOND = 1_000_000;

  private final ReplicaTable replicas = new ReplicaTable();
  private long nextOffset;
  private long timeMs;
  private long configurationNumber;
  // Token bucket of size 1 for store loads. A larger burst would allow more loads per second than
  // the store's limit, since the bucket also refills during that second.
  private long storeNextMicros;

  private PlacementStateMachine() {}

  /**
   * Creates a state machine in the state before the first record.
   *
   * @return a new state machine
   */
  public static PlacementStateMachine initial() {
    return new PlacementStateMachine();
  }

  /**
   * Creates a state machine from a snapshot.
   *
   * @param state the state to restore
   * @return a new state machine
   */
  public static PlacementStateMachine of(PlacementState state) {
    PlacementStateMachine stateMachine = new PlacementStateMachine();
    stateMachine.nextOffset = state.nextOffset();
    stateMachine.timeMs = state.timeMs();
    stateMachine.configurationNumber = state.configurationNumber();
    stateMachine.storeNextMicros = state.storeNextMicros();
    state.replicas().forEach(stateMachine.replicas::put);
    return stateMachine;
  }

  /**
   * Returns the complete state, for a snapshot.
   *
   * @return the state
   */
  public PlacementState toState() {
    return new PlacementState(
        nextOffset, timeMs, configurationNumber, storeNextMicros, new ArrayList<>(replicas.all()));
  }

  /**
   * Applies the next record of the stream. A record at an offset that was already applied is
   * ignored.
   *
   * @param offset the record's offset
   * @param logTimeMs when the log accepted the record, in milliseconds since the epoch
   * @param record the record
   * @return whether the record took effect
   */
  public ApplyOutcome apply(long offset, long logTimeMs, DecisionRecord record) {
    if (offset < nextOffset) {
      return new ApplyOutcome.Ignored("offset was already applied");
    }
    nextOffset = offset + 1;
    timeMs = Math.max(timeMs, logTimeMs);
    Optional<String> rejection = applyRecord(offset, record);
    return rejection
        .<ApplyOutcome>map(ApplyOutcome.Ignored::new)
        .orElseGet(ApplyOutcome.Accepted::new);
  }

  private Optional<String> applyRecord(long offset, DecisionRecord record) {
    if (record instanceof LoadDecided r) {
      return loadDecided(offset, r);
    }
    if (record instanceof LoadFinished r) {
      return loadFinished(r);
    }
    if (record instanceof LoadTakenOver r) {
      return loadTakenOver(r);
    }
    if (record instanceof UnloadDecided r) {
      return unloadDecided(offset, r);
    }
    if (record instanceof UnloadFinished r) {
      return unloadFinished(r);
    }
    return endpointRestarted((EndpointRestarted) record);
  }

  private Optional<String> loadDecided(long offset, LoadDecided r) {
    Optional<String> rejection = loadRejection(r);
    if (rejection.isPresent()) {
      return rejection;
    }
    configurationNumber = r.basis().configurationNumber();
    if (r.fromStore()) {
      long interval = (long) Math.ceil(MICROS_PER_SECOND / r.basis().storeLoadsPerSecond());
      storeNextMicros = timeMs * MICROS_PER_MILLI + interval;
    }
    replicas.put(
        new Replica(
            offset,
            r.endpoint(),
            r.artifact(),
            r.basis().model(),
            r.memoryMb(),
            r.fromStore(),
            r.vm(),
            r.nonce(),
            State.PENDING,
            -1,
            Optional.empty()));
    return Optional.empty();
  }

  private Optional<String> loadRejection(LoadDecided r) {
    LoadLimits limits = r.basis();
    if (limits == null || r.memoryMb() <= 0) {
      return Optional.of("basis is missing or memory is not positive");
    }
    if (limits.configurationNumber() < configurationNumber) {
      return Optional.of("configuration is older than that of an accepted load");
    }
    if (replicas.ofArtifact(r.artifact()).size() >= limits.maxReplicas()) {
      return Optional.of("replica limit reached");
    }
    Collection<Replica> onEndpoint = replicas.onEndpoint(r.endpoint());
    if (onEndpoint.stream().anyMatch(x -> x.artifact().equals(r.artifact()))) {
      return Optional.of("endpoint already has a replica of the artifact");
    }
    if (replicas.reservedMb(r.endpoint()) > limits.endpointMemoryMb() - r.memoryMb()) {
      return Optional.of("endpoint has too little unreserved memory");
    }
    if (r.fromStore()) {
      Optional<String> rejection = storeRejection(limits);
      if (rejection.isPresent()) {
        return rejection;
      }
    }
    return limits.model().flatMap(model -> adapterRejection(limits, model, onEndpoint));
  }

  private Optional<String> storeRejection(LoadLimits limits) {
    if (replicas.pendingStoreLoads() >= limits.storeLoadsAtOnce()) {
      return Optional.of("limit of concurrent store loads reached");
    }
    if (!(limits.storeLoadsPerSecond() > 0) || timeMs * MICROS_PER_MILLI < storeNextMicros) {
      return Optional.of("limit of store loads per second reached");
    }
    return Optional.empty();
  }

  private Optional<String> adapterRejection(
      LoadLimits limits, ArtifactName model, Collection<Replica> onEndpoint) {
    if (replicas.pendingAdapterLoads() >= limits.adapterLoadsAtOnce()) {
      return Optional.of("limit of concurrent adapter loads reached");
    }
    boolean loaded =
        onEndpoint.stream().anyMatch(x -> x.artifact().equals(model) && x.state() == State.LOADED);
    return loaded ? Optional.empty() : Optional.of("model is not loaded on the endpoint");
  }

  private Optional<String> loadFinished(LoadFinished r) {
    Replica replica = replicas.get(r.decision()).orElse(null);
    if (replica == null || replica.state() != State.PENDING) {
      return Optional.of("load is not pending");
    }
    if (!replica.sender().equals(r.vm())) {
      return Optional.of("VM is not the sender of the load");
    }
    if (r.loaded()) {
      replicas.put(replica.loaded());
    } else {
      replicas.remove(r.decision());
    }
    return Optional.empty();
  }

  private Optional<String> loadTakenOver(LoadTakenOver r) {
    Replica replica = replicas.get(r.decision()).orElse(null);
    if (replica == null || replica.state() != State.PENDING) {
      return Optional.of("load is not pending");
    }
    if (!replica.sender().equals(r.from())) {
      return Optional.of("load has another sender");
    }
    replicas.put(replica.takenOverBy(r.vm(), r.nonce()));
    return Optional.empty();
  }

  private Optional<String> unloadDecided(long offset, UnloadDecided r) {
    Replica replica = replicas.get(r.decision()).orElse(null);
    if (replica == null || replica.state() == State.PENDING) {
      return Optional.of("replica is not loaded");
    }
    boolean hasAdapters =
        replicas.onEndpoint(replica.endpoint()).stream()
            .anyMatch(x -> x.model().filter(replica.artifact()::equals).isPresent());
    if (hasAdapters) {
      return Optional.of("endpoint has adapters of the model");
    }
    replicas.put(replica.unloading(offset, r.vm()));
    return Optional.empty();
  }

  private Optional<String> unloadFinished(UnloadFinished r) {
    Replica replica = replicas.get(r.decision()).orElse(null);
    if (replica == null || replica.state() != State.UNLOADING) {
      return Optional.of("replica is not unloading");
    }
    replicas.remove(r.decision());
    return Optional.empty();
  }

  private Optional<String> endpointRestarted(EndpointRestarted r) {
    boolean released = false;
    for (long decision : r.lost()) {
      Replica replica = replicas.get(decision).orElse(null);
      if (replica != null
          && replica.endpoint().equals(r.endpoint())
          && replica.state() != State.PENDING) {
        replicas.remove(decision);
        released = true;
      }
    }
    return released ? Optional.empty() : Optional.of("no replica to release");
  }

  /**
   * Returns the offset of the next record to apply.
   *
   * @return the offset
   */
  public long nextOffset() {
    return nextOffset;
  }

  /**
   * Returns the latest log time of the applied records.
   *
   * @return the time, in milliseconds since the epoch
   */
  public long timeMs() {
    return timeMs;
  }

  /**
   * Returns the highest configuration number of an accepted load.
   *
   * @return the number; a load decision with a lower one is ignored
   */
  public long configurationNumber() {
    return configurationNumber;
  }

  /**
   * Returns a replica.
   *
   * @param decision offset of its {@code LoadDecided}
   * @return the replica, or empty if it was never accepted or has been released
   */
  public Optional<Replica> replica(long decision) {
    return replicas.get(decision);
  }

  /**
   * Returns all replicas.
   *
   * @return a live view, in order of the decisions
   */
  public Collection<Replica> replicas() {
    return replicas.all();
  }

  /**
   * Returns the replicas of a model or adapter.
   *
   * @param artifact the model or adapter
   * @return a live view, in order of the decisions
   */
  public Collection<Replica> replicasOf(ArtifactName artifact) {
    return replicas.ofArtifact(artifact);
  }

  /**
   * Returns the replicas on an endpoint.
   *
   * @param endpoint the endpoint
   * @return a live view, in order of the decisions
   */
  public Collection<Replica> replicasOn(EndpointName endpoint) {
    return replicas.onEndpoint(endpoint);
  }

  /**
   * Returns the memory that is reserved on an endpoint.
   *
   * @param endpoint the endpoint
   * @return reserved memory, in MB
   */
  public long reservedMb(EndpointName endpoint) {
    return replicas.reservedMb(endpoint);
  }

  /**
   * Returns the number of pending loads from the weight store.
   *
   * @return the number
   */
  public int pendingStoreLoads() {
    return replicas.pendingStoreLoads();
  }

  /**
   * Returns the number of pending adapter loads.
   *
   * @return the number
   */
  public int pendingAdapterLoads() {
    return replicas.pendingAdapterLoads();
  }

  /**
   * Returns the earliest log time at which the rate limit admits the next store load.
   *
   * @return the time, in milliseconds since the epoch, rounded up
   */
  public long nextStoreLoadMs() {
    return (storeNextMicros + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI;
  }
}
