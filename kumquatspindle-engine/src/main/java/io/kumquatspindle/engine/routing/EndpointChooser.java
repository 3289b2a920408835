package io.kumquatspindle.engine.routing;

import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.FailureDomain;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Chooses the endpoint of a request. Implementations hold no state. */
public interface EndpointChooser {

  /**
   * Chooses an endpoint. A leaving endpoint is never chosen.
   *
   * @param candidates endpoints that have the artifact or service ready
   * @param own failure domain of this VM
   * @param random source of randomness
   * @return the endpoint, or empty if no candidate may get new work
   */
  Optional<EndpointName> choose(
      List<Candidate> candidates, FailureDomain own, RandomGenerator random);
}
