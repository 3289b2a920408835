package io.kumquatspindle.api.record;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.VmId;
import java.util.List;
import java.util.Optional;

/** A record of the {@code decisions} stream, which holds load and unload decisions. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = DecisionRecord.LoadDecided.class, name = "load_decided"),
  @JsonSubTypes.Type(value = DecisionRecord.LoadFinished.class, name = "load_finished"),
  @JsonSubTypes.Type(value = DecisionRecord.LoadTakenOver.class, name = "load_taken_over"),
  @JsonSubTypes.Type(value = DecisionRecord.UnloadDecided.class, name = "unload_decided"),
  @JsonSubTypes.Type(value = DecisionRecord.UnloadFinished.class, name = "unload_finished"),
  @JsonSubTypes.Type(value = DecisionRecord.EndpointRestarted.class, name = "endpoint_restarted")
})
public sealed interface DecisionRecord {

  /**
   * Returns the VM that appended the record.
   *
   * @return the VM
   */
  VmId vm();

  /**
   * A load was decided. The offset of this record is the fencing number of the order.
   *
   * @param endpoint the endpoint that loads the artifact
   * @param artifact the model or adapter to load
   * @param memoryMb accelerator memory to reserve, in MB
   * @param fromStore whether the checkpoint has to be fetched from the weight store
   * @param vm the VM that decided and sends the order
   * @param nonce identifier of this append, unique per process start, so that a restarted process
   *     does not send the order of its predecessor again
   * @param basis the limits that the decision is checked against
   */
  record LoadDecided(
      EndpointName endpoint,
      ArtifactName artifact,
      long memoryMb,
      boolean fromStore,
      VmId vm,
      String nonce,
      LoadLimits basis)
      implements DecisionRecord {}

  /**
   * The limits that a load decision is checked against. They are part of the decision record
   * because there is no ordering between the tickets and decisions streams.
   *
   * @param configurationNumber number of the ticket in force at the VM that decided
   * @param model the base model of an adapter, which must be loaded on the endpoint; empty for a
   *     model
   * @param maxReplicas maximum number of replicas of the artifact
   * @param endpointMemoryMb accelerator memory of the endpoint, in MB
   * @param storeLoadsAtOnce maximum number of concurrent loads from the weight store
   * @param storeLoadsPerSecond maximum number of loads from the weight store started per second
   * @param adapterLoadsAtOnce maximum number of concurrent adapter loads across all endpoints
   */
  record LoadLimits(
      long configurationNumber,
      Optional<ArtifactName> model,
      int maxReplicas,
      long endpointMemoryMb,
      int storeLoadsAtOnce,
      double storeLoadsPerSecond,
      int adapterLoadsAtOnce) {

    /** Replaces a null model with an empty one. */
    public LoadLimits {
      model = model == null ? Optional.empty() : model;
    }
  }

  /**
   * Another VM takes over a load whose sender is gone. The record is ignored unless {@code from} is
   * the current sender, so that only one VM at a time sends the order and records its outcome.
   *
   * @param decision offset of the {@code LoadDecided}
   * @param from the previous sender, which is no longer in the platform's VM list
   * @param vm the new sender
   * @param nonce identifier of this append, unique per process start
   */
  record LoadTakenOver(long decision, VmId from, VmId vm, String nonce) implements DecisionRecord {}

  /**
   * The outcome of a load is known, and its order can no longer reach the endpoint.
   *
   * @param decision offset of the {@code LoadDecided}
   * @param loaded whether the endpoint has loaded the artifact
   * @param vm the VM that observed the outcome
   */
  record LoadFinished(long decision, boolean loaded, VmId vm) implements DecisionRecord {}

  /**
   * An unload was decided. VMs send no new requests to the replica.
   *
   * @param decision offset of the {@code LoadDecided} whose replica is unloaded
   * @param vm the VM that decided and sends the order
   */
  record UnloadDecided(long decision, VmId vm) implements DecisionRecord {}

  /**
   * The endpoint has unloaded the replica; its memory reservation ends.
   *
   * @param decision offset of the {@code LoadDecided} whose replica was unloaded
   * @param vm the VM that observed it
   */
  record UnloadFinished(long decision, VmId vm) implements DecisionRecord {}

  /**
   * The endpoint has lost replicas that had finished loading, usually because its process
   * restarted. The memory reservations of these replicas end. Pending loads are not affected, since
   * their orders can still reach the new process.
   *
   * @param endpoint the endpoint
   * @param incarnation the incarnation reported by the endpoint
   * @param lost offsets of the {@code LoadDecided} records of the lost replicas
   * @param vm the VM that observed it
   */
  record EndpointRestarted(EndpointName endpoint, String incarnation, List<Long> lost, VmId vm)
      implements DecisionRecord {

    /** Copies the list; a missing list is empty. */
    public EndpointRestarted {
      lost = lost == null ? List.of() : List.copyOf(lost);
    }
  }
}
