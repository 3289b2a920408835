package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.CustomerName;

/** A model or adapter for which requests wait. */
record Want(
    ArtifactName artifact, CustomerName customer, int waiting, long deadlineMs, long askedMs) {

  Want of(ArtifactName other) {
    return new Want(other, customer, waiting, deadlineMs, askedMs);
  }
}
