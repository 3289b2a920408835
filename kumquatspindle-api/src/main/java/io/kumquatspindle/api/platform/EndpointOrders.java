package io.kumquatspindle.api.platform;

import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.model.ArtifactName;
import java.util.Optional;

/** Orders to one kind of endpoint. Calls block until the endpoint has carried the order out. */
public interface EndpointOrders {

  /**
   * Loads a model or adapter.
   *
   * @param endpoint the endpoint
   * @param artifact the model or adapter
   * @param model the model that an adapter runs on; empty for a model
   * @param memoryMb memory that the artifact takes, in MB
   * @param fencingNumber number of the decision; the endpoint may refuse an older one
   * @return what is known about the order
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
   * @param fencingNumber number of the decision; the endpoint may refuse an older one
   * @return what is known about the order
   */
  OrderResult unload(EndpointSpec endpoint, ArtifactName artifact, long fencingNumber);
}
