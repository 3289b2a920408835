package io.kumquatspindle.node.front;

import io.kumquatspindle.engine.fleet.EndpointSelector;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.order.PendingRequests;
import io.kumquatspindle.node.peer.Peers;
import io.kumquatspindle.node.peer.QuotaController;
import io.kumquatspindle.node.port.HeaderCodec;
import java.util.Random;

/** Puts together what serves callers. */
public final class Front {

  private Front() {}

  /**
   * Creates the server for callers; it does not listen yet.
   *
   * @param node shared context
   * @param headers translates heads
   * @param waits requests that wait for a model
   * @param quotas customers' rates
   * @param peers the other VMs
   * @return the server
   */
  public static FrontServer create(
      NodeContext node,
      HeaderCodec headers,
      PendingRequests waits,
      QuotaController quotas,
      Peers peers) {
    FrontParts parts =
        new FrontParts(
            node,
            headers,
            new EndpointSelector(node.settings().domain()),
            waits,
            quotas,
            new SecondSends(node, peers::vmCount),
            new FrontMetrics(node.metrics()),
            new Random());
    return new FrontServer(node, (request, answer) -> new Exchange(parts, request, answer));
  }
}
