package io.kumquatspindle.node.order;

import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.engine.fleet.Home;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.peer.NodeMessage;
import io.kumquatspindle.node.peer.PeerTransport;
import io.kumquatspindle.node.peer.Peers;
import java.util.Map;
import java.util.Optional;

/** Sends load requests of this VM to the VMs that hold the endpoints. */
final class LoadRequestSender {
  private final NodeContext node;
  private final PartitionOwnership ownership;
  private final Peers peers;
  private final PeerTransport transport;

  LoadRequestSender(
      NodeContext node, PartitionOwnership ownership, Peers peers, PeerTransport transport) {
    this.node = node;
    this.ownership = ownership;
    this.peers = peers;
    this.transport = transport;
  }

  /**
   * Sends a load request, and returns whether this VM holds the endpoint itself. A repeated request
   * goes to all VMs of the failure domain, as the first one may have gone to a former holder.
   */
  boolean send(
      Endpoint e,
      String model,
      String adapter,
      Home home,
      long goalMs,
      Map<String, Integer> attempts) {
    long now = node.now();
    int attempt = attempts.merge(e.id(), 1, Integer::sum);
    String endpointDomain = e.entry().domain();
    boolean ownedHere = ownership.holds(e.id(), endpointDomain);
    Optional<String> holder =
        ownedHere ? Optional.of(transport.self()) : ownership.holder(e.id(), endpointDomain);
    node.log()
        .line("want")
        .field("endpoint", e.id())
        .field("model", model)
        .field("adapter", adapter)
        .field("holder", holder.orElse(""))
        .field("backlog_ms", node.loadQueues().backlogMs(e.id(), now))
        .field("restricted", String.valueOf(home.restricted()))
        .write();
    if (ownedHere) {
      if (home.restricted()) {
        node.restrictedLoads().add(e.id(), model, now);
      }
      return true;
    }
    NodeMessage.Want want =
        new NodeMessage.Want(e.id(), model, adapter, goalMs - now, false, home.restricted());
    if (attempt == 1 && holder.isPresent()) {
      transport.send(holder.get(), want);
    } else {
      transport.send(peers.addressesInDomain(endpointDomain), want);
    }
    return false;
  }
}
