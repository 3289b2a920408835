package io.kumquatspindle.api.config;

import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.FailureDomain;

/**
 * An endpoint: a model engine or an instance of a plain service.
 *
 * @param name the endpoint's name
 * @param failureDomain the failure domain that it runs in
 * @param url base URL, for example {@code http://127.0.0.1:9001}
 * @param kind what the endpoint serves
 * @param memoryMb accelerator memory, in MB; 0 for a plain service
 * @param fencing whether the endpoint refuses orders with an old fencing number
 * @param leaving whether the endpoint is to get no new work
 */
public record EndpointSpec(
    EndpointName name,
    FailureDomain failureDomain,
    String url,
    Kind kind,
    long memoryMb,
    boolean fencing,
    boolean leaving) {

  /** What an endpoint serves. */
  public enum Kind {
    /** A model engine. */
    ENGINE,
    /** A plain service. */
    SERVICE
  }
}
