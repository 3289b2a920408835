package io.kumquatspindle.api.platform;

import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.model.ArtifactName;
import java.util.Optional;

/**
 * Sends load and unload commands ("orders") to endpoints. Calls block until the endpoint has
 * executed the order.
 */
public interface EndpointOrders {

  /**
   * Loads a model or adapter.
   *
   * @param endpoint the endpoint
   * @param artifact the model or adapter
   * @param model the model that an adapter runs on; empty for a model
   * @param memoryMb accelerator memory of the artifact, in MB
   * @param fencingNumber offset of the decision; the endpoint may reject an order with a lower
   *     number than one it has seen
   * @return the outcome of the order
   */
  OrderResult load(
      EndpointSpec endpoint,
      ArtifactName artifact,
      Optional<ArtifactName> model,
      long memoryMb,
      long fencingNumber);

  /**
   * Unloads a model or adapter.
   *
   * @param endpoint the endpoint
   * @param artifact the model or adapter
   * @param fencingNumber offset of the decision; the endpoint may reject an order with a lower
   *     number than one it has seen
   * @return the outcome of the order
   */
  OrderResult unload(EndpointSpec endpoint, ArtifactName artifact, long fencingNumber);
}
