package io.kumquatspindle.node.front;

import io.kumquatspindle.engine.fleet.EndpointSelector;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.limit.EndpointPermits;
import io.kumquatspindle.node.limit.MemoryRequests;
import io.kumquatspindle.node.order.PendingRequests;
import io.kumquatspindle.node.peer.QuotaEnforcer;
import io.kumquatspindle.node.port.HeaderCodec;
import io.kumquatspindle.node.relay.EndpointConnections;
import io.kumquatspindle.node.relay.ResponseMemory;
import java.util.Random;

/**
 * Dependencies shared by all requests.
 *
 * @param node shared context
 * @param headerCodec codec of the platform's headers
 * @param selector chooses endpoints
 * @param pendingRequests requests that wait for a model
 * @param quotas rate limits of the customers
 * @param permits permits for requests to endpoints with a limit
 * @param memory memory of engines for large requests
 * @param retryBudgets retry budgets by service
 * @param connections connections to endpoints
 * @param responseMemory memory for parts of responses that are held back
 * @param responseTimes response times of the routes
 * @param slotWaits requests that wait for free slots
 * @param promptGuard rejects requests whose prompts crash endpoints
 * @param metrics metrics of requests
 * @param random chooses among the weighted services of a route
 */
record FrontContext(
    NodeContext node,
    HeaderCodec headerCodec,
    EndpointSelector selector,
    PendingRequests pendingRequests,
    QuotaEnforcer quotas,
    EndpointPermits permits,
    MemoryRequests memory,
    RetryBudgets retryBudgets,
    EndpointConnections connections,
    ResponseMemory responseMemory,
    ResponseTimes responseTimes,
    SlotWaits slotWaits,
    PromptGuard promptGuard,
    FrontMetrics metrics,
    Random random) {}
