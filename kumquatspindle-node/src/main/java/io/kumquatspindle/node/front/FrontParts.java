package io.kumquatspindle.node.front;

import io.kumquatspindle.engine.fleet.EndpointSelector;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.order.PendingRequests;
import io.kumquatspindle.node.peer.QuotaController;
import io.kumquatspindle.node.port.HeaderCodec;
import java.util.Random;

/**
 * What the handling of a request uses.
 *
 * @param node shared context
 * @param headers translates heads
 * @param selector chooses endpoints
 * @param waits requests that wait for a model
 * @param quotas customers' rates
 * @param budgets second sends
 * @param metrics counters of requests
 * @param random picks among split routes
 */
record FrontParts(
    NodeContext node,
    HeaderCodec headers,
    EndpointSelector selector,
    PendingRequests waits,
    QuotaController quotas,
    SecondSends budgets,
    FrontMetrics metrics,
    Random random) {}
