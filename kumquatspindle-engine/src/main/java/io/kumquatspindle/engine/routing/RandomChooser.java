package io.kumquatspindle.engine.routing;

import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.FailureDomain;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Baseline for comparisons: chooses a random endpoint that is not leaving. */
public final class RandomChooser implements EndpointChooser {

  @Override
  public Optional<EndpointName> choose(
      List<RoutingCandidate> candidates, FailureDomain localDomain, RandomGenerator random) {
    List<RoutingCandidate> usable = candidates.stream().filter(c -> !c.leaving()).toList();
    if (usable.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(usable.get(random.nextInt(usable.size())).endpoint());
  }
}
