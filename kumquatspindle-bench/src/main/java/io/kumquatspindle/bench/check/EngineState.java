package io.kumquatspindle.bench.check;

import java.util.List;
import java.util.Set;

/**
 * State that an engine stand-in reports about itself.
 *
 * @param endpoint the name of the engine
 * @param incarnation the incarnation, which changes with each restart
 * @param held the artifacts that are loaded or being loaded
 * @param loads the load orders that the engine has responded to
 * @param violations the number of memory overcommits and of unloads of artifacts in use
 */
public record EngineState(
    String endpoint, String incarnation, Set<String> held, List<LoadOrder> loads, long violations) {

  /** Makes defensive copies of the collections. */
  public EngineState {
    held = Set.copyOf(held);
    loads = List.copyOf(loads);
  }

  /**
   * A load order that the engine has responded to.
   *
   * @param artifact the name of the artifact
   * @param fencingNumber the offset of the load decision in the log
   * @param status the HTTP status code of the response
   */
  public record LoadOrder(String artifact, long fencingNumber, int status) {}
}
