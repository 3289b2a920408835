package io.kumquatspindle.node.order;

import io.kumquatspindle.engine.fleet.Endpoint;
import java.util.Map;

/** Gets models and adapters loaded where they are wanted. */
public interface ModelSource {

  /**
   * Wants a model, or an adapter of it, at the endpoint that suits best.
   *
   * @param service name of the service
   * @param model name of the model
   * @param adapter name of the adapter, or empty text
   * @param goalMs when the first caller should be served, in ms
   * @param asked how often endpoints were asked before; the choice is counted
   */
  void want(String service, String model, String adapter, long goalMs, Map<String, Integer> asked);

  /**
   * Predicts when a model will be held, if it is wanted now.
   *
   * @param service name of the service
   * @param model name of the model
   * @return time from now, in ms
   */
  long readyInMs(String service, String model);

  /**
   * Tells whether a load of a model is under way.
   *
   * @param service name of the service
   * @param model name of the model
   * @return whether it is, as far as this VM knows
   */
  boolean loading(String service, String model);

  /**
   * Notes that a model is used at an endpoint.
   *
   * @param endpoint the endpoint
   * @param model name of the model
   * @param adapter name of the adapter, or empty text
   */
  void used(Endpoint endpoint, String model, String adapter);
}
