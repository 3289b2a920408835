package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.CustomerName;

/** Demand for a model or adapter that requests wait for. */
record ArtifactDemand(
    ArtifactName artifact, CustomerName customer, int waiting, long deadlineMs, long reportedMs) {

  ArtifactDemand forArtifact(ArtifactName other) {
    return new ArtifactDemand(other, customer, waiting, deadlineMs, reportedMs);
  }
}
