package io.kumquatspindle.engine.quota;

import io.kumquatspindle.api.model.FailureDomain;

/**
 * A slot of a failure domain. The VM that holds a slot owns an equal share of each customer's rate
 * and burst.
 *
 * @param failureDomain the failure domain
 * @param index position within the failure domain, from 0
 */
public record Slot(FailureDomain failureDomain, int index) implements Comparable<Slot> {

  @Override
  public int compareTo(Slot other) {
    int c = failureDomain.compareTo(other.failureDomain);
    return c != 0 ? c : Integer.compare(index, other.index);
  }
}
