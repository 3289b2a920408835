package io.kumquatspindle.engine.fleet;

import io.kumquatspindle.api.fleet.EngineInfo;

/** Inputs to {@link OrderScheduler} other than its own state. */
public interface OrderContext {

  /**
   * Returns the properties that all engines of the service share.
   *
   * @return capacity and models of the engines
   */
  EngineInfo engine();

  /**
   * Returns the fencing number of this VM.
   *
   * @return the fencing number
   */
  long fencingNumber();

  /**
   * Returns the expected time that the endpoint takes to load a model.
   *
   * @param model name of the model
   * @return time in ms
   */
  long loadMs(String model);

  /**
   * Returns whether the limits of the weight store allow a load to start now.
   *
   * @param model name of the model
   * @return whether the load may start
   */
  boolean mayLoad(String model);

  /**
   * Returns the rate at which a model is requested.
   *
   * @param model name of the model
   * @return requests per second, at all VMs
   */
  double requestRate(String model);

  /**
   * Returns the value to callers of loading a replica of a model.
   *
   * @param model name of the model
   * @return value, in the unit of {@link #keepValue}
   */
  double loadValue(String model);

  /**
   * Returns whether a replica of a model is needed at this endpoint in addition to those elsewhere.
   *
   * @param model name of a model that the endpoint does not hold
   * @return whether it is needed; if not, the load is not worth its time
   */
  boolean replicaNeeded(String model);

  /**
   * Returns whether a model is in high demand but no endpoint can serve it.
   *
   * @param model name of the model
   * @return whether its load takes precedence over all others
   */
  boolean urgent(String model);

  /**
   * Returns whether the endpoint's replica of a model may be evicted although it is in use.
   *
   * @param model name of a model that the endpoint holds
   * @return whether the other replicas can serve the demand
   */
  boolean surplus(String model);

  /**
   * Returns the value to callers of keeping this endpoint's replica of a model.
   *
   * @param model name of the model
   * @return value: requests per second that depend on this replica, times the time to load it again
   */
  double keepValue(String model);

  /**
   * Returns whether requests for a model are in progress at the endpoint.
   *
   * @param model name of the model
   * @param adapter name of the adapter, or an empty string for the model with all of its adapters
   * @return whether there are any, as reported by the reachable VMs
   */
  boolean requestsInProgress(String model, String adapter);
}
