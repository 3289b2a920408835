package io.kumquatspindle.engine.routing;

import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.FailureDomain;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Chooses the less loaded of two random endpoints of the best non-empty group (power of two
 * choices).
 *
 * <p>Load reports are delayed, so choosing the least loaded endpoint overall would send the
 * requests of every VM to the same endpoint until the next report. Two random choices spread them.
 *
 * <p>Groups in order of preference: endpoints in the local failure domain with free capacity,
 * endpoints in any failure domain with free capacity, full endpoints, recently failed endpoints.
 */
public final class LeastLoadedChooser implements EndpointChooser {
  private static final double FULL_LOAD = 1.0;

  @Override
  public Optional<EndpointName> choose(
      List<RoutingCandidate> candidates, FailureDomain localDomain, RandomGenerator random) {
    List<RoutingCandidate> usable = candidates.stream().filter(c -> !c.leaving()).toList();
    Predicate<RoutingCandidate> healthy = c -> !c.recentlyFailed();
    Predicate<RoutingCandidate> withFreeCapacity = healthy.and(c -> c.load() < FULL_LOAD);
    Predicate<RoutingCandidate> freeInLocalDomain =
        withFreeCapacity.and(c -> c.failureDomain().equals(localDomain));
    for (Predicate<RoutingCandidate> group :
        List.of(freeInLocalDomain, withFreeCapacity, healthy, healthy.negate())) {
      List<RoutingCandidate> members = usable.stream().filter(group).toList();
      if (!members.isEmpty()) {
        return Optional.of(lessLoaded(members, random).endpoint());
      }
    }
    return Optional.empty();
  }

  private static RoutingCandidate lessLoaded(
      List<RoutingCandidate> members, RandomGenerator random) {
    int n = members.size();
    if (n == 1) {
      return members.get(0);
    }
    int i = random.nextInt(n);
    int j = (i + 1 + random.nextInt(n - 1)) % n;
    RoutingCandidate a = members.get(i);
    RoutingCandidate b = members.get(j);
    return a.load() <= b.load() ? a : b;
  }
}
