package io.kumquatspindle.api.record;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.VmId;
import java.util.List;
import java.util.Optional;

/** A record of the {@code decisions} stream. */
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
   * A load is decided; its offset is the order's fencing number.
   *
   * @param endpoint where to load
   * @param artifact what to load
   * @param memoryMb accelerator memory to reserve, in MB
   * @param fromStore whether the checkpoint has to come from the weight store
   * @param vm the VM that decided and sends the order
   * @param nonce identifier of this append, unique to the process that made it; a restarted process
   *     must not send the order of its predecessor a second time
   * @param basis the limits under which the load was decided
   */
  record LoadDecided(
      EndpointName endpoint,
      ArtifactName artifact,
      long memoryMb,
      boolean fromStore,
      VmId vm,
      String nonce,
      Basis basis)
      implements DecisionRecord {}

  /**
   * Limits that a load decision is checked against. They travel with the decision, since the
   * tickets and decisions streams have no common order.
   *
   * @param configurationNumber number of the ticket in force at the VM that decided
   * @param model the model of an adapter, which has to be loaded on the endpoint; empty for a model
   * @param maxReplicas replica limit of the artifact
   * @param endpointMemoryMb accelerator memory of the endpoint, in MB
   * @param storeLoadsAtOnce loads from the weight store that may run at once
   * @param storeLoadsPerSecond loads from the weight store that may start each second
   * @param adapterLoadsAtOnce adapter loads that may run at once over all endpoints
   */
  record Basis(
      long configurationNumber,
      Optional<ArtifactName> model,
      int maxReplicas,
      long endpointMemoryMb,
      int storeLoadsAtOnce,
      double storeLoadsPerSecond,
      int adapterLoadsAtOnce) {

    /** Replaces a missing model by an empty one. */
    public Basis {
      model = model == null ? Optional.empty() : model;
    }
  }

  /**
   * Another VM becomes the sender of a load whose sender is gone; accepted only while {@code from}
   * is the sender, so that one VM at a time sends the order and records its outcome.
   *
   * @param decision offset of the {@code LoadDecided}
   * @param from the sender that the platform's VM list no longer shows
   * @param vm the new sender
   * @param nonce identifier of this append, unique to the process that made it
   */
  record LoadTakenOver(long decision, VmId from, VmId vm, String nonce) implements DecisionRecord {}

  /**
   * The order of a load decision has an outcome and can no longer arrive.
   *
   * @param decision offset of the {@code LoadDecided}
   * @param loaded whether the endpoint holds the artifact
   * @param vm the VM that saw the outcome
   */
  record LoadFinished(long decision, boolean loaded, VmId vm) implements DecisionRecord {}

  /**
   * An unload is decided; no VM sends new requests to the replica.
   *
   * @param decision offset of the {@code LoadDecided} whose replica is unloaded
   * @param vm the VM that decided and sends the order
   */
  record UnloadDecided(long decision, VmId vm) implements DecisionRecord {}

  /**
   * The endpoint no longer holds the replica; its reservation ends.
   *
   * @param decision offset of the {@code LoadDecided} whose replica was unloaded
   * @param vm the VM that saw it
   */
  record UnloadFinished(long decision, VmId vm) implements DecisionRecord {}

  /**
   * The endpoint no longer holds replicas that finished loading, usually because its process was
   * started anew; the reservations of these replicas end. Loads that are pending are not affected,
   * since their orders can still arrive at the new process.
   *
   * @param endpoint the endpoint
   * @param incarnation the incarnation that it reports
   * @param lost offsets of the {@code LoadDecided} of the replicas that it no longer holds
   * @param vm the VM that saw it
   */
  record EndpointRestarted(EndpointName endpoint, String incarnation, List<Long> lost, VmId vm)
      implements DecisionRecord {

    /** Copies the list; a missing list is empty. */
    public EndpointRestarted {
      lost = lost == null ? List.of() : List.copyOf(lost);
    }
  }
}
