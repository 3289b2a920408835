package io.kumquatspindle.api.platform;

import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import java.util.List;
import java.util.Map;

/**
 * The state that an endpoint reports about itself.
 *
 * @param endpoint the endpoint
 * @param incarnation identifier that changes each time the endpoint's process starts
 * @param running number of requests in progress
 * @param waiting number of requests queued at the endpoint
 * @param capacity number of concurrent requests that it handles at full speed
 * @param leaving whether it is about to stop
 * @param loaded number of requests in progress by loaded artifact
 * @param loading artifacts that are being loaded
 * @param onDisk artifacts whose checkpoint is cached in the endpoint's main memory or on its disk
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
