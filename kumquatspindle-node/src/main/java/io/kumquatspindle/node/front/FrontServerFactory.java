package io.kumquatspindle.node.front;

import io.kumquatspindle.engine.fleet.EndpointSelector;
import io.kumquatspindle.engine.fleet.ExpectedArrivals;
import io.kumquatspindle.engine.fleet.PromptCache;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.follow.CrashRecords;
import io.kumquatspindle.node.limit.EndpointPermits;
import io.kumquatspindle.node.limit.MemoryRequests;
import io.kumquatspindle.node.order.PendingRequests;
import io.kumquatspindle.node.peer.Peers;
import io.kumquatspindle.node.peer.QuotaEnforcer;
import io.kumquatspindle.node.port.HeaderCodec;
import io.kumquatspindle.node.relay.EndpointConnections;
import io.kumquatspindle.node.relay.ResponseMemory;
import java.util.Random;

/** Creates the {@link FrontServer} and the objects that it uses. */
public final class FrontServerFactory {
  /** Part of the heap that responses may take while they are held back: one in so many. */
  private static final long HEAP_SHARE_OF_RESPONSES = 8;

  private FrontServerFactory() {}

  /**
   * Creates the server for callers. It does not listen before {@link FrontServer#start}.
   *
   * @param node shared context
   * @param headerCodec codec of the platform's headers
   * @param pendingRequests requests that wait for a model
   * @param quotas rate limits of the customers
   * @param permits permits for requests to endpoints with a limit
   * @param memory memory of engines for large requests
   * @param peers the other VMs
   * @param crashRecords keeps evidence of crashes in the store
   * @return the server
   */
  public static FrontServer create(
      NodeContext node,
      HeaderCodec headerCodec,
      PendingRequests pendingRequests,
      QuotaEnforcer quotas,
      EndpointPermits permits,
      MemoryRequests memory,
      Peers peers,
      CrashRecords crashRecords) {
    FrontContext context =
        new FrontContext(
            node,
            headerCodec,
            selector(node, memory),
            pendingRequests,
            quotas,
            permits,
            memory,
            new RetryBudgets(node, peers::vmCount),
            new EndpointConnections(node.loop(), node.clock()),
            new ResponseMemory(Runtime.getRuntime().maxMemory() / HEAP_SHARE_OF_RESPONSES),
            new ResponseTimes(),
            new SlotWaits(node),
            new PromptGuard(node, peers::broadcast, crashRecords),
            new FrontMetrics(node.metrics()),
            new Random());
    return new FrontServer(node, (request, writer) -> new Exchange(context, request, writer));
  }

  private static EndpointSelector selector(NodeContext node, MemoryRequests memory) {
    return new EndpointSelector(
        node.settings().domain(),
        node.activeRequests(),
        node.settings().cachedPrompts() ? node.promptCacheIndex() : PromptCache.NONE,
        node.endpointSpeeds(),
        node.workTimes(),
        memory.memory(),
        new ExpectedArrivals(memory.fleet()),
        new Random().nextLong());
  }
}
