package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.VmId;
import java.util.Optional;

/**
 * A replica whose load was decided and whose memory is not yet released. Reserves memory in all
 * states.
 *
 * @param decision offset of its {@code LoadDecided}, which is the fencing number of the load order
 * @param endpoint the endpoint
 * @param artifact the model or adapter
 * @param model the model of an adapter; empty for a model
 * @param memoryMb reserved memory, in MB
 * @param fromStore whether the load reads from the weight store and takes one of its permits
 * @param sender the VM that sends the load order and records its outcome
 * @param nonce identifier of the append that assigned the sender
 * @param state the state
 * @param unload offset of the newest {@code UnloadDecided}, which is the fencing number of the
 *     unload order; -1 if there is none
 * @param unloader the VM that sends the unload order
 */
public record Replica(
    long decision,
    EndpointName endpoint,
    ArtifactName artifact,
    Optional<ArtifactName> model,
    long memoryMb,
    boolean fromStore,
    VmId sender,
    String nonce,
    State state,
    long unload,
    Optional<VmId> unloader) {

  /** State of a replica. */
  public enum State {
    /** The load is decided; its order may be unsent, in flight, lost, delayed or in progress. */
    PENDING,
    /** The load has finished; requests are routed to the replica. */
    LOADED,
    /** The unload is decided; no new requests are routed to the replica. */
    UNLOADING
  }

  /** Replaces absent optional components by empty ones. */
  public Replica {
    model = model == null ? Optional.empty() : model;
    unloader = unloader == null ? Optional.empty() : unloader;
  }

  Replica loaded() {
    return with(sender, nonce, State.LOADED, unload, unloader);
  }

  Replica takenOverBy(VmId vm, String newNonce) {
    return with(vm, newNonce, state, unload, unloader);
  }

  Replica unloading(long offset, VmId vm) {
    return with(sender, nonce, State.UNLOADING, offset, Optional.of(vm));
  }

  private Replica with(
      VmId newSender, String newNonce, State newState, long newUnload, Optional<VmId> newUnloader) {
    return new Replica(
        decision,
        endpoint,
        artifact,
        model,
        memoryMb,
        fromStore,
        newSender,
        newNonce,
        newState,
        newUnload,
        newUnloader);
  }
}
