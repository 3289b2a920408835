package io.kumquatspindle.engine.quota;

import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.random.RandomGenerator;

/** Orders the peers to ask for tokens: the last giver, the own failure domain, then others. */
final class PeerChoice {
  private final VmId vm;
  private final FailureDomain failureDomain;
  private final RandomGenerator random;
  private final int most;
  private final Map<CustomerName, VmId> lastGiver = new HashMap<>();
  private Map<VmId, FailureDomain> members = Map.of();

  PeerChoice(QuotaController.Builder b) {
    vm = b.vm;
    failureDomain = b.failureDomain;
    random = b.random;
    most = b.settings.peersAsked();
  }

  void members(Map<VmId, FailureDomain> value) {
    members = Map.copyOf(value);
    lastGiver.values().retainAll(members.keySet());
  }

  void gave(CustomerName customer, VmId peer) {
    lastGiver.put(customer, peer);
  }

  /** Returns peers to ask, at most half of them in the own failure domain if there are others. */
  Deque<VmId> peers(CustomerName customer) {
    List<VmId> near = shuffled(true);
    List<VmId> far = shuffled(false);
    VmId giver = lastGiver.get(customer);
    if (near.remove(giver)) {
      near.add(0, giver);
    }
    if (far.remove(giver)) {
      far.add(0, giver);
    }
    int farPart = Math.min(far.size(), most / 2);
    int nearPart = Math.min(near.size(), most - farPart);
    Deque<VmId> peers = new ArrayDeque<>(near.subList(0, nearPart));
    peers.addAll(far.subList(0, Math.min(far.size(), most - nearPart)));
    return peers;
  }

  private List<VmId> shuffled(boolean near) {
    List<VmId> list = new ArrayList<>();
    members.forEach(
        (member, domain) -> {
          if (!member.equals(vm) && domain.equals(failureDomain) == near) {
            list.add(member);
          }
        });
    Collections.sort(list);
    Collections.shuffle(list, new Random(random.nextLong()));
    return list;
  }
}
