package io.kumquatspindle.node.order;

import io.kumquatspindle.engine.fleet.GroupGeneration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** Store whose responses about groups are set by the test. */
public final class GroupStub extends GroupOnlyStore {
  private final Map<String, Map<Integer, String>> membersByGroup = new HashMap<>();
  Joined joined;

  /** Returns the response to a join in the first era of the store. */
  public static Joined joined(long generation, Set<Integer> partitions) {
    return joined(1, generation, partitions);
  }

  /** Returns the response to a join. */
  static Joined joined(long era, long generation, Set<Integer> partitions) {
    return new Joined(new GroupGeneration(era, generation), partitions);
  }

  public void setMembers(String group, Map<Integer, String> members) {
    membersByGroup.put(group, members);
  }

  @Override
  public void join(
      String group, String member, long generation, long ttlMs, Consumer<Optional<Joined>> answer) {
    answer.accept(Optional.of(joined));
  }

  @Override
  public void partitionOwners(String group, Consumer<Optional<Map<Integer, String>>> answer) {
    answer.accept(Optional.of(new HashMap<>(membersByGroup.get(group))));
  }

  @Override
  public int partitionCount() {
    return 2;
  }
}
