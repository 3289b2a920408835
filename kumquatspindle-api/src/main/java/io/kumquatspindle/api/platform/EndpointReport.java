package io.kumquatspindle.api.platform;

import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import java.util.List;
import java.util.Map;

/**
 * What an endpoint reports about itself.
 *
 * @param endpoint the endpoint
 * @param incarnation changes each time the endpoint's process starts
 * @param running requests that run now
 * @param waiting requests that wait at the endpoint
 * @param capacity requests that it runs at once at full speed
 * @param leaving whether it is about to stop
 * @param loaded running requests of each loaded artifact
 * @param loading artifacts whose load is in progress
 * @param onDisk artifacts whose checkpoint is in the endpoint's memory or on its disk
 */
public record EndpointReport(
    EndpointName endpoint,
    String incarnation,
    int running,
    int waiting,
    int capacity,
    boolean leaving,
    Map<ArtifactName, Integer> loaded,
    List<ArtifactName> loading,
    List<ArtifactName> onDisk) {

  /** Copies the collections; a missing one is empty. */
  public EndpointReport {
    loaded = loaded == null ? Map.of() : Map.copyOf(loaded);
    loading = loading == null ? List.of() : List.copyOf(loading);
    onDisk = onDisk == null ? List.of() : List.copyOf(onDisk);
  }
}
