package io.kumquatspindle.api.admin;

import io.kumquatspindle.api.message.EntryMessage.ReplicaState;
import io.kumquatspindle.api.model.EndpointName;
import java.util.List;

/**
 * Response to {@code GET /explain?model=NAME}.
 *
 * @param model name of the requested model or adapter
 * @param known whether the configuration contains it
 * @param replicas its replicas
 * @param pending decided and waiting loads and unloads, one sentence each
 * @param reason explanation of its current state, in one sentence
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
   * The status of a replica.
   *
   * @param endpoint the endpoint that it is placed on
   * @param state whether it accepts requests
   * @param expectedReadyMs expected time until it accepts requests, in milliseconds; 0 if it
   *     already does
   */
  public record ReplicaStatus(EndpointName endpoint, ReplicaState state, long expectedReadyMs) {}
}
