package io.kumquatspindle.api.config;

import io.kumquatspindle.api.model.ArtifactName;

/**
 * A model that customers may use.
 *
 * @param name the model's name, as callers give it
 * @param memoryMb accelerator memory of one replica, in MB
 * @param maxReplicas the most replicas that may be loaded at once, over the whole fleet
 */
public record ModelSpec(ArtifactName name, long memoryMb, int maxReplicas) {}
