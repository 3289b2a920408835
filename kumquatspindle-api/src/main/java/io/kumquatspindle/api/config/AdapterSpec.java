package io.kumquatspindle.api.config;

import io.kumquatspindle.api.model.ArtifactName;

/**
 * An adapter, which is loaded on top of a replica of its model.
 *
 * @param name the adapter's name, as used by callers
 * @param model the model that it adapts
 * @param memoryMb accelerator memory of one replica, in MB
 * @param maxReplicas maximum number of loaded replicas across the fleet
 */
public record AdapterSpec(ArtifactName name, ArtifactName model, long memoryMb, int maxReplicas) {}
