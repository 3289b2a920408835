package io.kumquatspindle.node.order;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** Store with one group per failure domain, whose partitions its members share evenly. */
final class FleetGroups extends GroupOnlyStore {
  private static final int PARTITIONS = 8;

  private final Map<String, List<String>> addressesByDomain;

  FleetGroups(Map<String, List<String>> addressesByDomain) {
    this.addressesByDomain = addressesByDomain;
  }

  private Map<Integer, String> owners(String group) {
    List<String> addresses = addressesByDomain.get(group.substring("orders-".length()));
    Map<Integer, String> owners = new HashMap<>();
    for (int p = 0; p < PARTITIONS; p++) {
      owners.put(p, addresses.get(p % addresses.size()) + "|vm");
    }
    return owners;
  }

  @Override
  public void join(
      String group,
      String member,
      long generation,
      long ttlMs,
      Consumer<Optional<Joined>> callback) {
    Set<Integer> assigned = new HashSet<>();
    owners(group).forEach((p, owner) -> addIfEqual(assigned, p, owner, member));
    callback.accept(Optional.of(GroupStub.joined(1, assigned)));
  }

  private static void addIfEqual(Set<Integer> to, int partition, String owner, String member) {
    if (owner.equals(member)) {
      to.add(partition);
    }
  }

  @Override
  public void partitionOwners(String group, Consumer<Optional<Map<Integer, String>>> callback) {
    callback.accept(Optional.of(owners(group)));
  }

  @Override
  public int partitionCount() {
    return PARTITIONS;
  }
}
