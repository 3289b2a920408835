package io.kumquatspindle.bench.check;

import java.util.List;
import java.util.Set;

/**
 * What an engine stand-in tells about itself.
 *
 * @param endpoint the engine
 * @param incarnation changes with each restart
 * @param held artifacts that are loaded or being loaded
 * @param loads load orders with their answers
 * @param violations sum of memory overcommits and unloads of running artifacts
 */
public record EngineState(
    String endpoint, String incarnation, Set<String> held, List<LoadOrder> loads, long violations) {

  /** Copies the collections. */
  public EngineState {
    held = Set.copyOf(held);
    loads = List.copyOf(loads);
  }

  /**
   * A load order that was answered.
   *
   * @param artifact the artifact
   * @param fencingNumber offset of the decision
   * @param status HTTP status of the answer
   */
  public record LoadOrder(String artifact, long fencingNumber, int status) {}
}
