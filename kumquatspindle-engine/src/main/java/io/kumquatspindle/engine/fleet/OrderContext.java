package io.kumquatspindle.engine.fleet;

import io.kumquatspindle.api.fleet.EngineInfo;

/** What the decision on an order needs beside the state of the endpoint's own book. */
public interface OrderContext {

  /**
   * Returns what all engines of the service have in common.
   *
   * @return the engine's sizes and models
   */
  EngineInfo engine();

  /**
   * Returns the fencing number of this VM.
   *
   * @return fencing number
   */
  long fence();

  /**
   * Returns how long the endpoint is expected to take to load a model.
   *
   * @param model name of the model
   * @return time in ms
   */
  long loadMs(String model);

  /**
   * Tells whether a load may begin now, as far as the weight store's limits go.
   *
   * @param model name of the model
   * @return whether it may
   */
  boolean mayLoad(String model);

  /**
   * Returns what it is worth to callers that a copy of a model is loaded.
   *
   * @param model name of the model
   * @return value, in the unit of {@link #keepValue}
   */
  double value(String model);

  /**
   * Tells whether the endpoint's copy of a model is needed beside those elsewhere.
   *
   * @param model name of a model that the endpoint does not hold
   * @return whether it is; if not, the load is not worth its time
   */
  boolean needed(String model);

  /**
   * Tells whether many callers ask for a model that no endpoint can serve.
   *
   * @param model name of the model
   * @return whether its load goes before all others
   */
  boolean missed(String model);

  /**
   * Tells whether the endpoint's copy of a model may go although requests use it.
   *
   * @param model name of a model that the endpoint holds
   * @return whether the other copies carry the demand
   */
  boolean spare(String model);

  /**
   * Returns what it is worth to callers that this endpoint's copy of a model stays.
   *
   * @param model name of the model
   * @return value: requests a second that need this copy, times the time to load it again
   */
  double keepValue(String model);

  /**
   * Tells whether requests are in progress at the endpoint.
   *
   * @param model name of the model
   * @param adapter name of the adapter, or empty text for the model with all its adapters
   * @return whether there are any, as far as the VMs that are heard tell
   */
  boolean runs(String model, String adapter);
}
