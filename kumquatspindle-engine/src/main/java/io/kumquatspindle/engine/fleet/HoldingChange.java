package io.kumquatspindle.engine.fleet;

/**
 * A change to the set of models and adapters that an endpoint holds.
 *
 * @param model name of the model
 * @param adapter name of the adapter, or an empty string
 * @param kind kind of the change
 */
public record HoldingChange(String model, String adapter, Kind kind) {
  /** The kind of a change. */
  public enum Kind {
    /** Loading has started. */
    LOADING,
    /** Loading continues, and takes as long as from the weight store. */
    LOADING_FROM_STORE,
    /** The model or adapter is loaded and ready for requests. */
    LOADED,
    /** The model or adapter was evicted. */
    EVICTED
  }
}
