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

/**
 * Selects the peers to request tokens from: those in this VM's failure domain first, then others.
 * In either group the peer that last transferred tokens comes first, the rest in random order.
 */
final class PeerSelector {
  private final VmId vm;
  private final FailureDomain failureDomain;
  private final RandomGenerator random;
  private final int maxPeers;
  private final Map<CustomerName, VmId> lastLender = new HashMap<>();
  private Map<VmId, FailureDomain> members = Map.of();

  PeerSelector(QuotaController.Builder b) {
    vm = b.vm;
    failureDomain = b.failureDomain;
    random = b.random;
    maxPeers = b.settings.maxPeersAsked();
  }

  void setMembers(Map<VmId, FailureDomain> value) {
    members = Map.copyOf(value);
    lastLender.values().retainAll(members.keySet());
  }

  void recordLender(CustomerName customer, VmId peer) {
    lastLender.put(customer, peer);
  }

  /** Returns the peers in order, at most half of them local if there are enough remote ones. */
  Deque<VmId> selectPeers(CustomerName customer) {
    List<VmId> local = shuffled(true);
    List<VmId> remote = shuffled(false);
    VmId lender = lastLender.get(customer);
    if (local.remove(lender)) {
      local.add(0, lender);
    }
    if (remote.remove(lender)) {
      remote.add(0, lender);
    }
    int remoteCount = Math.min(remote.size(), maxPeers / 2);
    int localCount = Math.min(local.size(), maxPeers - remoteCount);
    Deque<VmId> peers = new ArrayDeque<>(local.subList(0, localCount));
    peers.addAll(remote.subList(0, Math.min(remote.size(), maxPeers - localCount)));
    return peers;
  }

  private List<VmId> shuffled(boolean local) {
    List<VmId> list = new ArrayList<>();
    members.forEach(
        (member, domain) -> {
          if (!member.equals(vm) && domain.equals(failureDomain) == local) {
            list.add(member);
          }
        });
    Collections.sort(list);
    Collections.shuffle(list, new Random(random.nextLong()));
    return list;
  }
}
