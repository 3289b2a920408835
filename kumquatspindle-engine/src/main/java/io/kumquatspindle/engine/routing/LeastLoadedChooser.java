package io.kumquatspindle.engine.routing;

import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.FailureDomain;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Chooses the less loaded of two random endpoints of the best group.
 *
 * <p>Load reports are late, so the least loaded endpoint of all would get the requests of every VM
 * until the next report; two random choices spread them.
 *
 * <p>Groups, best first: own failure domain with free capacity, any failure domain with free
 * capacity, full ones, recently failed ones.
 */
public final class LeastLoadedChooser implements EndpointChooser {
  private static final double FULL = 1.0;

  @Override
  public Optional<EndpointName> choose(
      List<Candidate> candidates, FailureDomain own, RandomGenerator random) {
    List<Candidate> usable = candidates.stream().filter(c -> !c.leaving()).toList();
    Predicate<Candidate> healthy = c -> !c.recentlyFailed();
    Predicate<Candidate> free = healthy.and(c -> c.load() < FULL);
    Predicate<Candidate> near = free.and(c -> c.failureDomain().equals(own));
    for (Predicate<Candidate> group : List.of(near, free, healthy, healthy.negate())) {
      List<Candidate> members = usable.stream().filter(group).toList();
      if (!members.isEmpty()) {
        return Optional.of(lessLoaded(members, random).endpoint());
      }
    }
    return Optional.empty();
  }

  private static Candidate lessLoaded(List<Candidate> members, RandomGenerator random) {
    int n = members.size();
    if (n == 1) {
      return members.get(0);
    }
    int i = random.nextInt(n);
    int j = (i + 1 + random.nextInt(n - 1)) % n;
    Candidate a = members.get(i);
    Candidate b = members.get(j);
    return a.load() <= b.load() ? a : b;
  }
}
