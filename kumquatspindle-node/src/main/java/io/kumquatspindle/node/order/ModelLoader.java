package io.kumquatspindle.node.order;

import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.engine.fleet.Home;
import java.util.Map;

/** Requests loads of models and adapters at endpoints, and predicts when they are ready. */
public interface ModelLoader {

  /**
   * Requests that a model, or an adapter of it, is loaded at the most suitable endpoint.
   *
   * @param service name of the service
   * @param model name of the model
   * @param adapter name of the adapter, or empty text
   * @param home where the waiting requests may be sent to
   * @param goalMs time by which the first caller should be served, in ms
   * @param attempts number of earlier load requests by endpoint; the chosen endpoint's is
   *     incremented
   */
  void requestLoad(
      String service,
      String model,
      String adapter,
      Home home,
      long goalMs,
      Map<String, Integer> attempts);

  /**
   * Predicts how long it takes until an endpoint holds a model or an adapter that is requested now.
   *
   * @param service name of the service
   * @param model name of the model
   * @param adapter name of the adapter, or empty text
   * @param home where the waiting requests may be sent to
   * @return time from now in ms
   */
  long readyInMs(String service, String model, String adapter, Home home);

  /**
   * Returns whether a load of a model is in progress.
   *
   * @param service name of the service
   * @param model name of the model
   * @param home where the waiting requests may be sent to
   * @return true if this VM knows of such a load
   */
  boolean isLoading(String service, String model, Home home);

  /**
   * Records that a request uses a model at an endpoint.
   *
   * @param endpoint the endpoint
   * @param model name of the model
   * @param adapter name of the adapter, or empty text
   */
  void recordUse(Endpoint endpoint, String model, String adapter);
}
