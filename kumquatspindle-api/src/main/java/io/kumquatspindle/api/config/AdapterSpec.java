package io.kumquatspindle.api.config;

import io.kumquatspindle.api.model.ArtifactName;

/**
 * An adapter, which runs on a loaded replica of its model.
 *
 * @param name the adapter's name, as callers give it
 * @param model the model that it adapts
 * @param memoryMb accelerator memory of one replica, in MB
 * @param maxReplicas the most replicas that may be loaded at once, over the whole fleet
 */
public record AdapterSpec(ArtifactName name, ArtifactName model, long memoryMb, int maxReplicas) {}
