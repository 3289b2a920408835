package io.kumquatspindle.engine.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.model.VmId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("RendezvousHash")
class RendezvousHashTests {

  @Test
  @DisplayName("spreads names evenly, and a VM that leaves moves only its own names")
  void spreadsAndMovesLittle() {
    List<VmId> vms = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      vms.add(VmId.of("vm-" + i));
    }
    List<VmId> fewer = vms.subList(1, 8);
    Map<VmId, Integer> owned = new HashMap<>();
    for (int i = 0; i < 8_000; i++) {
      String name = "model-" + i;
      VmId owner = RendezvousHash.owner(name, vms).orElseThrow();
      owned.merge(owner, 1, Integer::sum);
      assertEquals(owner, RendezvousHash.ranked(name, vms).get(0));
      VmId after = RendezvousHash.owner(name, fewer).orElseThrow();
      assertEquals(owner.equals(vms.get(0)) ? after : owner, after);
    }
    assertTrue(owned.values().stream().allMatch(n -> n > 850 && n < 1_150), owned::toString);
    assertEquals(Optional.empty(), RendezvousHash.owner("m", List.of()));
  }
}
