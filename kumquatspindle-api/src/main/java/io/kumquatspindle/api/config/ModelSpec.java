package io.kumquatspindle.api.config;

import io.kumquatspindle.api.model.ArtifactName;

/**
 * A model that customers may use.
 *
 * @param name the model's name, as used by callers
 * @param memoryMb accelerator memory of one replica, in MB
 * @param maxReplicas maximum number of loaded replicas across the fleet
 */
public record ModelSpec(ArtifactName name, long memoryMb, int maxReplicas) {}
