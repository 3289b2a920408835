package io.kumquatspindle.api.admin;

import io.kumquatspindle.api.message.EntryMessage.ReplicaState;
import io.kumquatspindle.api.model.EndpointName;
import java.util.List;

/**
 * Answer to {@code GET /explain?model=NAME}.
 *
 * @param model name of the model or adapter that was asked for
 * @param known whether the configuration has it
 * @param replicas its replicas
 * @param pending loads and unloads that are decided or wait, one sentence each
 * @param reason why its state is what it is, in one sentence
 */
public record ExplainPage(
    String model,
    boolean known,
    List<ReplicaStatus> replicas,
    List<String> pending,
    String reason) {

  /** Copies the lists; a missing list is empty. */
  public ExplainPage {
    replicas = replicas == null ? List.of() : List.copyOf(replicas);
    pending = pending == null ? List.of() : List.copyOf(pending);
  }

  /**
   * A replica.
   *
   * @param endpoint where it is
   * @param state whether it takes requests
   * @param expectedReadyMs expected time until it takes requests, in milliseconds; 0 if it does
   */
  public record ReplicaStatus(EndpointName endpoint, ReplicaState state, long expectedReadyMs) {}
}
