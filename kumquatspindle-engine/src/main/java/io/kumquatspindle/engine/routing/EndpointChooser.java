package io.kumquatspindle.engine.routing;

import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.FailureDomain;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Strategy that chooses the endpoint of a request. Implementations are stateless. */
public interface EndpointChooser {

  /**
   * Chooses an endpoint. A leaving endpoint is never chosen.
   *
   * @param candidates endpoints where the artifact or service is ready
   * @param localDomain the failure domain of this VM
   * @param random source of randomness
   * @return the endpoint, or empty if no candidate accepts new requests
   */
  Optional<EndpointName> choose(
      List<RoutingCandidate> candidates, FailureDomain localDomain, RandomGenerator random);
}
