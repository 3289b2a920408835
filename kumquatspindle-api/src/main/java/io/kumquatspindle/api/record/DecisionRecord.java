package io.kumquatspindle.api.record;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.VmId;

/** A record of the {@code decisions} stream. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = DecisionRecord.LoadDecided.class, name = "load_decided"),
  @JsonSubTypes.Type(value = DecisionRecord.LoadFinished.class, name = "load_finished"),
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
   * @param basis the limits under which the load was decided
   */
  record LoadDecided(
      EndpointName endpoint,
      ArtifactName artifact,
      long memoryMb,
      boolean fromStore,
      VmId vm,
      Basis basis)
      implements DecisionRecord {}

  /**
   * Limits that a load decision is checked against. They travel with the decision, since the
   * tickets and decisions streams have no common order.
   *
   * @param configurationNumber number of the ticket in force at the VM that decided
   * @param adapter whether the artifact is an adapter
   * @param maxReplicas replica limit of the artifact
   * @param endpointMemoryMb accelerator memory of the endpoint, in MB
   * @param storeLoadsAtOnce loads from the weight store that may run at once
   * @param storeLoadsPerSecond loads from the weight store that may start each second
   * @param adapterLoadsAtOnce adapter loads that may run at once over all endpoints
   */
  record Basis(
      long configurationNumber,
      boolean adapter,
      int maxReplicas,
      long endpointMemoryMb,
      int storeLoadsAtOnce,
      double storeLoadsPerSecond,
      int adapterLoadsAtOnce) {}

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
   * The endpoint's process was started anew and holds nothing; its reservations end.
   *
   * @param endpoint the endpoint
   * @param incarnation the incarnation that it reports
   * @param vm the VM that saw it
   */
  record EndpointRestarted(EndpointName endpoint, String incarnation, VmId vm)
      implements DecisionRecord {}
}
