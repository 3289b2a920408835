package io.kumquatspindle.node.order;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Store whose responses about groups are set by the test. */
public final class GroupStub extends GroupOnlyStore {
  private final Map<String, Map<Integer, String>> membersByGroup = new HashMap<>();
  Joined joined;

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
