package io.kumquatspindle.node.limit;

import io.kumquatspindle.engine.fleet.ExpectedArrivals;
import io.kumquatspindle.node.peer.Peers;

/** The VMs, as far as they matter for what is known of their requests. */
record PeerFleet(Peers peers) implements ExpectedArrivals.Fleet {
  @Override
  public int vms() {
    return peers.vmCount();
  }

  @Override
  public double heardShare() {
    return peers.reachableShare();
  }

  @Override
  public long digestCycleMs() {
    return peers.digestCycleMs();
  }
}
