package io.kumquatspindle.api.config;

import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.ServiceName;
import java.util.List;
import java.util.Set;

/**
 * A plain service, called under {@code /services/{name}/}.
 *
 * @param name the service's name
 * @param endpoints the endpoints that run instances of the service
 * @param repeatable whether a call may be retried after it may have been executed
 * @param tokensPerCall tokens that one call consumes from the customer's quota
 * @param queryParameters names of the query parameters that are forwarded
 */
public record ServiceSpec(
    ServiceName name,
    List<EndpointName> endpoints,
    boolean repeatable,
    long tokensPerCall,
    Set<String> queryParameters) {

  /** Copies the collections. */
  public ServiceSpec {
    endpoints = endpoints == null ? List.of() : List.copyOf(endpoints);
    queryParameters = queryParameters == null ? Set.of() : Set.copyOf(queryParameters);
  }
}
