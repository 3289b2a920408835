package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.message.EntryMessage;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.record.DecisionRecord;
import java.util.Optional;

/** An action that the caller of a {@link LoadController} has to carry out, in the given order. */
public sealed interface LoadAction {

  /**
   * Append a record to the {@code decisions} stream; answered by {@link
   * LoadController#appendFinished}.
   *
   * @param record the record
   * @param appendId identifier of the append, unique within the controller
   */
  record AppendDecision(DecisionRecord record, long appendId) implements LoadAction {}

  /**
   * Send a load order once; answered by {@link LoadController#orderFinished}. The result must be
   * given only after the transport has stopped trying, so that no further copy leaves this VM.
   *
   * @param decision offset of the {@code LoadDecided}, which is the fencing number
   * @param attempt number of this attempt, from 1
   * @param endpoint the endpoint
   * @param artifact the model or adapter
   * @param model the model of an adapter; empty for a model
   * @param memoryMb memory that the artifact occupies, in MB
   */
  record SendLoad(
      long decision,
      int attempt,
      EndpointName endpoint,
      ArtifactName artifact,
      Optional<ArtifactName> model,
      long memoryMb)
      implements LoadAction {}

  /**
   * Send an unload order once; answered by {@link LoadController#orderFinished}.
   *
   * @param decision offset of the {@code UnloadDecided}, which is the fencing number
   * @param attempt number of this attempt, from 1
   * @param endpoint the endpoint
   * @param artifact the model or adapter
   */
  record SendUnload(long decision, int attempt, EndpointName endpoint, ArtifactName artifact)
      implements LoadAction {}

  /**
   * Notify entry programs of the outlook of a demanded artifact.
   *
   * @param artifact the model or adapter
   * @param outlook whether the artifact is expected, queued or refused
   * @param expectedReadyMs expected time until a replica is ready, in milliseconds
   * @param reason why it is queued or refused; empty otherwise
   */
  record SendOutlook(
      ArtifactName artifact, EntryMessage.Outlook outlook, long expectedReadyMs, String reason)
      implements LoadAction {}
}
