package io.kumquatspindle.node.limit;

import io.kumquatspindle.api.fleet.ResponseHead;
import io.kumquatspindle.api.metrics.MetricsText;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.engine.fleet.Permit;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.order.PartitionOwnership;
import io.kumquatspindle.node.peer.NodeMessage;
import io.kumquatspindle.node.peer.PeerTransport;
import io.kumquatspindle.node.peer.Peers;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Obtains permits for requests to endpoints with a limit from the VM that holds the endpoint, and
 * tells the other VMs what the endpoints say about their limits. All calls are made on the event
 * loop.
 */
public final class EndpointPermits {
  /** Time after which the holder of an endpoint counts as silent, in ms. */
  private static final long REPLY_TIMEOUT_MS = 200;

  /** Time for which a silent holder is not asked again, in ms. */
  private static final long SILENT_HOLDER_MS = 1_000;

  /** Time after which a VM that has just started should know the other VMs, in ms. */
  private static final long FLEET_UNKNOWN_RETRY_MS = 1_500;

  /** Relative change of a limit that the other VMs are told at once. */
  private static final double TOLD_CHANGE = 0.1;

  /** Limit above which no permits are needed, per second: no endpoint is sent as many requests. */
  private static final double NO_LIMIT_PER_S = 1_000;

  /** Age of what an endpoint without a stated limit has said, in ms: earlier than any statement. */
  private static final long MAX_AGE_MS = 30L * 24 * 3_600_000;

  private final NodeContext node;
  private final PartitionOwnership ownership;
  private final Peers peers;
  private final PeerTransport transport;
  private final Map<Long, PendingReply> pending = new HashMap<>();
  private final Map<String, Long> silentUntilMs = new HashMap<>();
  private final Map<String, OptionalDouble> toldPerS = new HashMap<>();
  private long lastNumber;

  private record PendingReply(
      Endpoint endpoint,
      String holder,
      long maxWaitMs,
      Consumer<Permit> listener,
      ScheduledFuture<?> timeout) {}

  /**
   * Creates an instance.
   *
   * @param node shared context
   * @param ownership the endpoints that each VM holds
   * @param peers the other VMs
   * @param transport connections to the other VMs
   */
  public EndpointPermits(
      NodeContext node, PartitionOwnership ownership, Peers peers, PeerTransport transport) {
    this.node = node;
    this.ownership = ownership;
    this.peers = peers;
    this.transport = transport;
  }

  /**
   * Requests a permit to send a request.
   *
   * @param endpoint the endpoint
   * @param maxWaitMs longest time for which the request can wait, in ms
   * @param listener receives the decision, perhaps before this method returns
   */
  public void request(Endpoint endpoint, long maxWaitMs, Consumer<Permit> listener) {
    if (!endpoint.limited() || holds(endpoint)) {
      listener.accept(decide(endpoint, maxWaitMs));
      return;
    }
    node.endpointLimits().released(endpoint);
    Optional<String> holder = reachableHolder(endpoint);
    if (holder.isEmpty()) {
      listener.accept(decideAlone(endpoint, maxWaitMs));
      return;
    }
    long number = ++lastNumber;
    ScheduledFuture<?> timeout =
        node.loop().schedule(() -> onTimeout(number), REPLY_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    pending.put(number, new PendingReply(endpoint, holder.get(), maxWaitMs, listener, timeout));
    transport.send(
        holder.get(),
        new NodeMessage.PermitRequest(transport.self(), number, limitMessage(endpoint), maxWaitMs));
  }

  private boolean holds(Endpoint endpoint) {
    return ownership.holds(endpoint.id(), endpoint.entry().domain());
  }

  private Optional<String> reachableHolder(Endpoint endpoint) {
    long now = node.now();
    return ownership
        .holder(endpoint.id(), endpoint.entry().domain())
        .filter(h -> !h.equals(transport.self()) && peers.isReachable(h))
        .filter(h -> now >= silentUntilMs.getOrDefault(h, Long.MIN_VALUE));
  }

  /** Decides as the holder of the endpoint. */
  private Permit decide(Endpoint endpoint, long maxWaitMs) {
    Permit permit =
        endpoint.limited()
            ? node.endpointLimits().reserve(endpoint, peers.reachableShare(), maxWaitMs, node.now())
            : new Permit(true, 0);
    count("holder", permit);
    return permit;
  }

  private Permit decideAlone(Endpoint endpoint, long maxWaitMs) {
    boolean holderKnown = ownership.holder(endpoint.id(), endpoint.entry().domain()).isPresent();
    // A VM that has just started may not know yet that it is one of many.
    boolean fleetUnknown = !holderKnown && peers.vmCount() == 1;
    Permit permit =
        endpoint.cold() && fleetUnknown
            ? new Permit(false, FLEET_UNKNOWN_RETRY_MS)
            : node.endpointLimits()
                .reserveOwnPart(endpoint, holderKnown, peers.vmCount(), maxWaitMs, node.now());
    count("alone", permit);
    return permit;
  }

  private void count(String by, Permit permit) {
    String result = permit.granted() ? "granted" : "rejected";
    node.metrics()
        .counter(MetricsText.name("endpoint_permits_total", "by", by, "result", result))
        .inc();
  }

  private void onTimeout(long number) {
    PendingReply p = pending.remove(number);
    if (p != null) {
      silentUntilMs.values().removeIf(until -> until <= node.now());
      silentUntilMs.put(p.holder(), node.now() + SILENT_HOLDER_MS);
      node.log().line("limit_holder_silent").field("peer", p.holder()).write();
      p.listener().accept(decideAlone(p.endpoint(), p.maxWaitMs()));
    }
  }

  /**
   * Decides about a request of another VM.
   *
   * @param message the request
   */
  public void onRequest(NodeMessage.PermitRequest message) {
    onLimit(message.limit());
    Optional<Endpoint> endpoint = node.endpoints().findInstance(message.limit().endpoint());
    if (message.limit().perS().isEmpty()) {
      // Without a stated limit, a VM asks only if it knows the endpoint to be cold.
      endpoint.filter(e -> !e.limited()).ifPresent(e -> node.endpoints().coldAtPeer(e, node.now()));
    }
    if (endpoint.filter(this::holds).isEmpty()) {
      endpoint.ifPresent(node.endpointLimits()::released);
      reply(message, NodeMessage.PermitReply.Result.NOT_HOLDER, 0);
      return;
    }
    Permit permit = decide(endpoint.get(), message.maxWaitMs());
    NodeMessage.PermitReply.Result result =
        permit.granted()
            ? NodeMessage.PermitReply.Result.GRANTED
            : NodeMessage.PermitReply.Result.REJECTED;
    reply(message, result, permit.delayMs());
  }

  private void reply(
      NodeMessage.PermitRequest to, NodeMessage.PermitReply.Result result, long delayMs) {
    transport.send(to.address(), new NodeMessage.PermitReply(to.number(), result, delayMs));
  }

  /**
   * Handles the decision of another VM.
   *
   * @param reply the decision
   */
  public void onReply(NodeMessage.PermitReply reply) {
    PendingReply p = pending.remove(reply.number());
    if (p == null) {
      return;
    }
    p.timeout().cancel(false);
    if (reply.result() == NodeMessage.PermitReply.Result.NOT_HOLDER) {
      p.listener().accept(decideAlone(p.endpoint(), p.maxWaitMs()));
      return;
    }
    node.endpointLimits().holderAnswered(p.endpoint());
    boolean granted = reply.result() == NodeMessage.PermitReply.Result.GRANTED;
    p.listener().accept(new Permit(granted, reply.delayMs()));
  }

  /**
   * Handles what a response of an endpoint states about its limit. A response without a limit ends
   * an earlier one only if its request was sent after that: responses overtake each other.
   *
   * @param endpoint the endpoint
   * @param response head of the response
   * @param sentMs when the request was sent, in ms
   */
  public void onResponse(Endpoint endpoint, ResponseHead response, long sentMs) {
    if (response.limitUnreadable()) {
      node.log().line("endpoint_limit_unreadable").field("endpoint", endpoint.id()).write();
      return;
    }
    boolean genuine = response.authenticated() || response.notRun();
    boolean ends = genuine && endpoint.statesLimit() && sentMs > endpoint.limitHeardMs();
    if (response.limitPerS().isPresent() || ends) {
      record(endpoint, response.limitPerS(), node.now(), true);
    }
  }

  /**
   * Handles what another VM has heard about a limit.
   *
   * @param message the limit
   */
  public void onLimit(NodeMessage.Limit message) {
    long heardMs = node.now() - message.ageMs();
    node.endpoints()
        .findInstance(message.endpoint())
        .ifPresent(e -> record(e, message.perS(), heardMs, false));
  }

  private void record(
      Endpoint endpoint, OptionalDouble statedPerS, long heardMs, boolean firstHand) {
    OptionalDouble perS = statedPerS.stream().filter(l -> l < NO_LIMIT_PER_S).findFirst();
    if (!node.endpoints().recordLimit(endpoint, perS, heardMs)) {
      return;
    }
    String text = perS.isPresent() ? String.format(Locale.ROOT, "%.2f", perS.getAsDouble()) : "";
    node.log()
        .line("endpoint_limit")
        .field("endpoint", endpoint.id())
        .field("per_s", text)
        .field("by", firstHand ? "response" : "peer")
        .write();
    if (holds(endpoint)) {
      tell(endpoint, Optional.empty());
    } else if (firstHand) {
      tell(endpoint, reachableHolder(endpoint));
    }
  }

  /** Tells one VM, or all of them, unless the limit has hardly changed since the last time. */
  private void tell(Endpoint endpoint, Optional<String> receiver) {
    OptionalDouble perS = endpoint.statedLimitPerS();
    OptionalDouble told = toldPerS.getOrDefault(endpoint.instance(), OptionalDouble.empty());
    if (told.isPresent()
        && perS.isPresent()
        && Math.abs(perS.getAsDouble() - told.getAsDouble()) < TOLD_CHANGE * told.getAsDouble()) {
      return;
    }
    toldPerS.keySet().removeIf(i -> node.endpoints().findInstance(i).isEmpty());
    if (perS.isPresent()) {
      toldPerS.put(endpoint.instance(), perS);
    } else {
      toldPerS.remove(endpoint.instance());
    }
    NodeMessage.Limit message = limitMessage(endpoint);
    receiver.ifPresentOrElse(r -> transport.send(r, message), () -> peers.broadcast(message));
  }

  private NodeMessage.Limit limitMessage(Endpoint endpoint) {
    long ageMs = Math.min(MAX_AGE_MS, node.now() - endpoint.limitHeardMs());
    return new NodeMessage.Limit(endpoint.instance(), endpoint.statedLimitPerS(), ageMs);
  }

  /**
   * Returns the limits of the endpoints that this VM holds, for its digests: a VM that has started
   * or was cut off learns them from there.
   *
   * @return the limits
   */
  public Set<NodeMessage.Limit> heldLimits() {
    return node.endpoints().all().stream()
        .filter(e -> e.statesLimit() && holds(e))
        .map(this::limitMessage)
        .collect(Collectors.toSet());
  }
}
