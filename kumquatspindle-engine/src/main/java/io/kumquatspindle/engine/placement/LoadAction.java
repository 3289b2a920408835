package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.message.EntryMessage;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.record.DecisionRecord;
import java.util.Optional;

/** What a {@link LoadController} wants done, in order. */
public sealed interface LoadAction {

  /**
   * Append a record to the {@code decisions} stream; answered by {@link
   * LoadController#appendFinished}.
   *
   * @param record the record
   * @param tag number of the append, unique within the controller
   */
  record AppendDecision(DecisionRecord record, long tag) implements LoadAction {}

  /**
   * Send a load order once; answered by {@link LoadController#orderFinished}. It must be answered
   * only when the sender has stopped trying, so that no further copy leaves this VM.
   *
   * @param decision offset of the {@code LoadDecided}, which is the fencing number
   * @param attempt number of this attempt, from 1
   * @param endpoint the endpoint
   * @param artifact the model or adapter
   * @param model the model of an adapter; empty for a model
   * @param memoryMb memory that the artifact takes, in MB
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
   * Tell entry programs what becomes of a wanted artifact.
   *
   * @param artifact the model or adapter
   * @param outlook what becomes of it
   * @param expectedReadyMs expected time until a replica is ready, in milliseconds
   * @param reason why it waits or is refused; empty otherwise
   */
  record Outlook(
      ArtifactName artifact, EntryMessage.Outlook outlook, long expectedReadyMs, String reason)
      implements LoadAction {}
}
