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
 * Folds the {@code decisions} stream into replicas and reservations. A deterministic function of
 * the records in offset order, so all VMs at the same offset hold the same state. One owner thread.
 */
public final class PlacementFold {
  private static final long MICROS_PER_MILLI = 1_000;
  private static final double MICROS_PER_SECOND = 1_000_000;

  private final ReplicaTable replicas = new ReplicaTable();
  private long nextOffset;
  private long timeMs;
  private long configurationNumber;
  // The token bucket of store loads holds one token. A larger burst would let more loads start
  // within one second than the store's limit, since the bucket also refills during that second.
  private long storeNextMicros;

  private PlacementFold() {}

  /**
   * Returns the fold before the first record.
   *
   * @return a new fold
   */
  public static PlacementFold initial() {
    return new PlacementFold();
  }

  /**
   * Returns a fold that continues from a snapshot.
   *
   * @param state the state to continue from
   * @return a new fold
   */
  public static PlacementFold of(PlacementState state) {
    PlacementFold fold = new PlacementFold();
    fold.nextOffset = state.nextOffset();
    fold.timeMs = state.timeMs();
    fold.configurationNumber = state.configurationNumber();
    fold.storeNextMicros = state.storeNextMicros();
    state.replicas().forEach(fold.replicas::put);
    return fold;
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
   * Applies the next record of the stream. A record at an offset that was applied before is
   * ignored.
   *
   * @param offset the record's offset
   * @param logTimeMs when the log took the record, in milliseconds since the epoch
   * @param record the record
   * @return whether it took effect
   */
  public Verdict apply(long offset, long logTimeMs, DecisionRecord record) {
    if (offset < nextOffset) {
      return new Verdict.Ignored("offset was applied before");
    }
    nextOffset = offset + 1;
    timeMs = Math.max(timeMs, logTimeMs);
    Optional<String> fault = fault(offset, record);
    return fault.<Verdict>map(Verdict.Ignored::new).orElseGet(Verdict.Accepted::new);
  }

  private Optional<String> fault(long offset, DecisionRecord record) {
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
    Optional<String> fault = loadFault(r);
    if (fault.isPresent()) {
      return fault;
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

  private Optional<String> loadFault(LoadDecided r) {
    LoadLimits basis = r.basis();
    if (basis == null || r.memoryMb() <= 0) {
      return Optional.of("record is malformed");
    }
    if (basis.configurationNumber() < configurationNumber) {
      return Optional.of("basis is older than that of an accepted load");
    }
    if (replicas.of(r.artifact()).size() >= basis.maxReplicas()) {
      return Optional.of("replica limit reached");
    }
    Collection<Replica> local = replicas.on(r.endpoint());
    if (local.stream().anyMatch(x -> x.artifact().equals(r.artifact()))) {
      return Optional.of("endpoint has a replica of the artifact");
    }
    if (replicas.reservedMb(r.endpoint()) > basis.endpointMemoryMb() - r.memoryMb()) {
      return Optional.of("endpoint memory is reserved");
    }
    if (r.fromStore()) {
      Optional<String> fault = storeFault(basis);
      if (fault.isPresent()) {
        return fault;
      }
    }
    return basis.model().flatMap(model -> adapterFault(basis, model, local));
  }

  private Optional<String> storeFault(LoadLimits basis) {
    if (replicas.pendingStoreLoads() >= basis.storeLoadsAtOnce()) {
      return Optional.of("store loads at once");
    }
    if (!(basis.storeLoadsPerSecond() > 0) || timeMs * MICROS_PER_MILLI < storeNextMicros) {
      return Optional.of("store loads per second");
    }
    return Optional.empty();
  }

  private Optional<String> adapterFault(
      LoadLimits basis, ArtifactName model, Collection<Replica> local) {
    if (replicas.pendingAdapterLoads() >= basis.adapterLoadsAtOnce()) {
      return Optional.of("adapter loads at once");
    }
    boolean loaded =
        local.stream().anyMatch(x -> x.artifact().equals(model) && x.state() == State.LOADED);
    return loaded ? Optional.empty() : Optional.of("model is not loaded on the endpoint");
  }

  private Optional<String> loadFinished(LoadFinished r) {
    Replica replica = replicas.get(r.decision()).orElse(null);
    if (replica == null || replica.state() != State.PENDING) {
      return Optional.of("load is not pending");
    }
    if (!replica.sender().equals(r.vm())) {
      return Optional.of("not the sender of the load");
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
    replicas.put(replica.sentBy(r.vm(), r.nonce()));
    return Optional.empty();
  }

  private Optional<String> unloadDecided(long offset, UnloadDecided r) {
    Replica replica = replicas.get(r.decision()).orElse(null);
    if (replica == null || replica.state() == State.PENDING) {
      return Optional.of("replica is not loaded");
    }
    boolean adapters =
        replicas.on(replica.endpoint()).stream()
            .anyMatch(x -> x.model().filter(replica.artifact()::equals).isPresent());
    if (adapters) {
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
   * Returns the latest log time seen.
   *
   * @return the time, in milliseconds since the epoch
   */
  public long timeMs() {
    return timeMs;
  }

  /**
   * Returns the highest configuration number of an accepted load.
   *
   * @return the number; a load with a lower one is ignored
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
    return replicas.of(artifact);
  }

  /**
   * Returns the replicas on an endpoint.
   *
   * @param endpoint the endpoint
   * @return a live view, in order of the decisions
   */
  public Collection<Replica> replicasOn(EndpointName endpoint) {
    return replicas.on(endpoint);
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
   * Returns the number of loads from the weight store that are decided and not finished.
   *
   * @return the number
   */
  public int pendingStoreLoads() {
    return replicas.pendingStoreLoads();
  }

  /**
   * Returns the number of adapter loads that are decided and not finished.
   *
   * @return the number
   */
  public int pendingAdapterLoads() {
    return replicas.pendingAdapterLoads();
  }

  /**
   * Returns the log time from which the next store load fits the limit of loads per second.
   *
   * @return the time, in milliseconds since the epoch, rounded up
   */
  public long nextStoreLoadMs() {
    return (storeNextMicros + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI;
  }
}
