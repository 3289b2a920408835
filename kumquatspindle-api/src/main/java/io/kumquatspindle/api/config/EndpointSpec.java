package io.kumquatspindle.api.config;

import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.FailureDomain;

/**
 * An endpoint: a model engine or an instance of a plain service.
 *
 * @param name the endpoint's name
 * @param failureDomain its failure domain
 * @param url base URL, for example {@code http://127.0.0.1:9001}
 * @param kind the kind of endpoint
 * @param memoryMb accelerator memory, in MB; 0 for a plain service
 * @param fencing whether the endpoint rejects orders with an outdated fencing number
 * @param leaving whether the endpoint must not receive new requests
 */
public record EndpointSpec(
    EndpointName name,
    FailureDomain failureDomain,
    String url,
    Kind kind,
    long memoryMb,
    boolean fencing,
    boolean leaving) {

  /** The kind of an endpoint. */
  public enum Kind {
    /** An engine that serves models and adapters. */
    ENGINE,
    /** An instance of a plain service. */
    SERVICE
  }
}
