package io.kumquatspindle.engine.fleet;

/**
 * A change of what an endpoint holds.
 *
 * @param model name of the model
 * @param adapter name of the adapter, or empty text
 * @param kind what changed
 */
public record HoldingChange(String model, String adapter, Kind kind) {
  /** What changed. */
  public enum Kind {
    /** A load has begun. */
    LOADING,
    /** It is there. */
    LOADED,
    /** It is gone. */
    EVICTED
  }
}
