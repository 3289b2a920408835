package io.kumquatspindle.engine.routing;

import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.FailureDomain;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Chooses any endpoint that is not leaving; the baseline for comparisons. */
public final class RandomChooser implements EndpointChooser {

  @Override
  public Optional<EndpointName> choose(
      List<Candidate> candidates, FailureDomain own, RandomGenerator random) {
    List<Candidate> usable = candidates.stream().filter(c -> !c.leaving()).toList();
    if (usable.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(usable.get(random.nextInt(usable.size())).endpoint());
  }
}
