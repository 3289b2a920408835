package io.kumquatspindle.node.limit;

import io.kumquatspindle.api.fleet.EngineInfo;
import io.kumquatspindle.api.fleet.ServiceInfo;
import io.kumquatspindle.api.metrics.MetricsText;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.engine.fleet.EndpointMemory;
import io.kumquatspindle.engine.fleet.ExpectedArrivals;
import io.kumquatspindle.engine.fleet.MemoryGrants;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.order.PartitionOwnership;
import io.kumquatspindle.node.peer.NodeMessage;
import io.kumquatspindle.node.peer.PeerTransport;
import io.kumquatspindle.node.peer.Peers;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Obtains the memory of engines for large requests from the VMs that hold the engines, and grants
 * that of the engines that this VM holds. All calls are made on the event loop.
 */
public final class MemoryRequests {
  /** Time after which the holder of an endpoint counts as silent, in ms. */
  private static final long REPLY_TIMEOUT_MS = 200;

  /** Time for which a silent holder is not asked again, in ms. */
  private static final long SILENT_HOLDER_MS = 1_000;

  /** Time after which a VM that has just started should know the other VMs, in ms. */
  private static final long FLEET_UNKNOWN_MS = 1_500;

  /** Interval at which a VM that has just started checks whether it knows the others, in ms. */
  private static final long FLEET_CHECK_MS = 50;

  private final NodeContext node;
  private final PartitionOwnership ownership;
  private final Peers peers;
  private final PeerTransport transport;
  private final ExpectedArrivals.Fleet fleet;
  private final EndpointMemory memory;
  private final Map<Long, PendingReply> pending = new HashMap<>();
  private final Map<String, Long> silentUntilMs = new HashMap<>();

  /** Peers that understand requests for memory; others would close the connection. */
  private final Set<String> answering = new HashSet<>();

  /** Begins at a random number, so that grants of an earlier process here are not returned. */
  private long lastNumber = new Random().nextLong() >>> 1;

  private record PendingReply(
      Endpoint endpoint,
      String holder,
      long tokens,
      long deadlineMs,
      Consumer<Optional<Grant>> listener,
      ScheduledFuture<?> timeout) {}

  /** Memory of an endpoint that one request may use. */
  public final class Grant {
    private final Endpoint endpoint;
    private final long number;
    private final Optional<String> holder;
    private boolean returned;

    private Grant(Endpoint endpoint, long number, Optional<String> holder) {
      this.endpoint = endpoint;
      this.number = number;
      this.holder = holder;
    }

    public Endpoint endpoint() {
      return endpoint;
    }

    /** Returns the memory, because the request has ended or is not sent; only once. */
    public void giveBack() {
      if (returned) {
        return;
      }
      returned = true;
      node.memoryGrants().returned(transport.self(), number);
      // The holder may be another VM by now, which counts the grant too.
      ownership
          .holder(endpoint.id(), endpoint.entry().domain())
          .filter(h -> holder.isPresent() && !h.equals(holder.get()))
          .ifPresent(h -> tellReturned(h, number));
      holder.ifPresent(h -> tellReturned(h, number));
    }
  }

  /**
   * Creates an instance.
   *
   * @param node shared context
   * @param ownership the endpoints that each VM holds
   * @param peers the other VMs
   * @param transport connections to the other VMs
   */
  public MemoryRequests(
      NodeContext node, PartitionOwnership ownership, Peers peers, PeerTransport transport) {
    this.node = node;
    this.ownership = ownership;
    this.peers = peers;
    this.transport = transport;
    this.fleet = new PeerFleet(peers);
    this.memory =
        new EndpointMemory(node.activeRequests(), this::capacityTokens, fleet, node.memoryGrants());
  }

  /**
   * Returns the estimate of what small requests need.
   *
   * @return memory of the endpoints
   */
  public EndpointMemory memory() {
    return memory;
  }

  /**
   * Returns the VMs, as far as they matter for the estimates.
   *
   * @return the fleet
   */
  public ExpectedArrivals.Fleet fleet() {
    return fleet;
  }

  /** Returns the memory of an endpoint for prompts, in tokens; 0 if it is no engine. */
  private long capacityTokens(Endpoint endpoint) {
    return node.configuration()
        .flatMap(c -> c.service(endpoint.entry().service()))
        .flatMap(ServiceInfo::engine)
        .map(EngineInfo::promptCacheTokens)
        .orElse(0L);
  }

  /**
   * Requests memory for a large request.
   *
   * @param endpoint the endpoint
   * @param tokens memory that the request may need
   * @param deadlineMs deadline of the request, in ms
   * @param listener receives the grant, or empty if there is none; perhaps before this method
   *     returns
   */
  public void request(
      Endpoint endpoint, long tokens, long deadlineMs, Consumer<Optional<Grant>> listener) {
    requestWhenFleetKnown(endpoint, tokens, deadlineMs, node.now() + FLEET_UNKNOWN_MS, listener);
  }

  /** Waits while this VM has just started, and may not know yet that it is one of many. */
  private void requestWhenFleetKnown(
      Endpoint endpoint,
      long tokens,
      long deadlineMs,
      long knownByMs,
      Consumer<Optional<Grant>> listener) {
    if (fleetKnown(endpoint) || node.now() >= knownByMs) {
      requestNow(endpoint, tokens, deadlineMs, listener);
      return;
    }
    node.loop()
        .schedule(
            () -> requestWhenFleetKnown(endpoint, tokens, deadlineMs, knownByMs, listener),
            FLEET_CHECK_MS,
            TimeUnit.MILLISECONDS);
  }

  private boolean fleetKnown(Endpoint endpoint) {
    return peers.vmCount() > 1
        || holds(endpoint)
        || ownership
            .holder(endpoint.id(), endpoint.entry().domain())
            .filter(h -> !h.equals(transport.self()))
            .isPresent();
  }

  private void requestNow(
      Endpoint endpoint, long tokens, long deadlineMs, Consumer<Optional<Grant>> listener) {
    long number = ++lastNumber;
    if (mayGrant(endpoint)) {
      boolean granted = decide(endpoint, claim(number, tokens, deadlineMs));
      listener.accept(granted(granted, endpoint, number, Optional.empty()));
      return;
    }
    Optional<String> holder = holds(endpoint) ? Optional.empty() : reachableHolder(endpoint);
    if (holder.isEmpty()) {
      listener.accept(decideAlone(endpoint, number, tokens, deadlineMs));
      return;
    }
    ScheduledFuture<?> timeout =
        node.loop().schedule(() -> onTimeout(number), REPLY_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    pending.put(
        number, new PendingReply(endpoint, holder.get(), tokens, deadlineMs, listener, timeout));
    transport.send(
        holder.get(),
        new NodeMessage.MemoryRequest(
            transport.self(), number, endpoint.instance(), tokens, deadlineMs - node.now()));
  }

  private MemoryGrants.Claim claim(long number, long tokens, long deadlineMs) {
    return new MemoryGrants.Claim(transport.self(), number, tokens, deadlineMs - node.now());
  }

  private Optional<Grant> granted(
      boolean granted, Endpoint endpoint, long number, Optional<String> holder) {
    return granted ? Optional.of(new Grant(endpoint, number, holder)) : Optional.empty();
  }

  private boolean holds(Endpoint endpoint) {
    return ownership.holds(endpoint.id(), endpoint.entry().domain());
  }

  private boolean mayGrant(Endpoint endpoint) {
    if (!holds(endpoint)) {
      return false;
    }
    node.memoryGrants().held(endpoint.instance(), node.now());
    // Without other VMs there are no grants of a former holder.
    long handoverMs = peers.vmCount() == 1 ? 0 : peers.digestCycleMs() + Peers.DIGEST_INTERVAL_MS;
    return node.memoryGrants().mayGrant(endpoint.instance(), handoverMs, node.now());
  }

  private Optional<String> reachableHolder(Endpoint endpoint) {
    long now = node.now();
    return ownership
        .holder(endpoint.id(), endpoint.entry().domain())
        .filter(h -> !h.equals(transport.self()) && peers.isReachable(h))
        .filter(answering::contains)
        .filter(h -> now >= silentUntilMs.getOrDefault(h, Long.MIN_VALUE));
  }

  /** Decides as the holder of the endpoint. */
  private boolean decide(Endpoint endpoint, MemoryGrants.Claim claim) {
    long now = node.now();
    boolean granted =
        node.memoryGrants()
            .grant(
                endpoint.instance(),
                claim,
                memory.capacity(endpoint),
                peers.reachableShare(),
                memory.hasRoomAlone(endpoint, claim.tokens(), now),
                now);
    count("holder", granted);
    return granted;
  }

  private Optional<Grant> decideAlone(
      Endpoint endpoint, long number, long tokens, long deadlineMs) {
    boolean granted =
        fleetKnown(endpoint)
            && node.memoryGrants()
                .takeOwnShare(
                    endpoint.instance(),
                    claim(number, tokens, deadlineMs),
                    memory.capacity(endpoint),
                    peers.vmCount(),
                    node.now());
    count("alone", granted);
    return granted(granted, endpoint, number, Optional.empty());
  }

  private void count(String by, boolean granted) {
    String result = granted ? "granted" : "rejected";
    node.metrics()
        .counter(MetricsText.name("memory_grants_total", "by", by, "result", result))
        .inc();
  }

  private void onTimeout(long number) {
    PendingReply p = pending.remove(number);
    if (p != null) {
      silentUntilMs.values().removeIf(until -> until <= node.now());
      silentUntilMs.put(p.holder(), node.now() + SILENT_HOLDER_MS);
      node.log().line("memory_holder_silent").field("peer", p.holder()).write();
      // Its answer may be on the way.
      tellReturned(p.holder(), number);
      p.listener().accept(decideAlone(p.endpoint(), number, p.tokens(), p.deadlineMs()));
    }
  }

  private void tellReturned(String holder, long number) {
    transport.send(holder, new NodeMessage.MemoryReturn(transport.self(), number));
  }

  /**
   * Decides about a request of another VM.
   *
   * @param message the request
   */
  public void onRequest(NodeMessage.MemoryRequest message) {
    Optional<Endpoint> endpoint =
        node.endpoints().findInstance(message.endpoint()).filter(this::mayGrant);
    NodeMessage.MemoryReply.Result result = NodeMessage.MemoryReply.Result.NOT_HOLDER;
    if (endpoint.isPresent() && memory.capacity(endpoint.get()) > 0) {
      boolean granted =
          decide(
              endpoint.get(),
              new MemoryGrants.Claim(
                  message.address(), message.number(), message.tokens(), message.deadlineInMs()));
      result =
          granted
              ? NodeMessage.MemoryReply.Result.GRANTED
              : NodeMessage.MemoryReply.Result.REJECTED;
    }
    transport.send(message.address(), new NodeMessage.MemoryReply(message.number(), result));
  }

  /**
   * Handles the decision of another VM.
   *
   * @param reply the decision
   */
  public void onReply(NodeMessage.MemoryReply reply) {
    PendingReply p = pending.remove(reply.number());
    if (p == null) {
      return;
    }
    p.timeout().cancel(false);
    if (reply.result() == NodeMessage.MemoryReply.Result.NOT_HOLDER) {
      p.listener().accept(decideAlone(p.endpoint(), reply.number(), p.tokens(), p.deadlineMs()));
      return;
    }
    boolean granted = reply.result() == NodeMessage.MemoryReply.Result.GRANTED;
    if (granted) {
      node.memoryGrants()
          .put(
              p.endpoint().instance(),
              claim(reply.number(), p.tokens(), p.deadlineMs()),
              node.now());
    }
    p.listener().accept(granted(granted, p.endpoint(), reply.number(), Optional.of(p.holder())));
  }

  /**
   * Handles that another VM returns memory.
   *
   * @param message the message
   */
  public void onReturn(NodeMessage.MemoryReturn message) {
    node.memoryGrants().returned(message.address(), message.number());
  }

  /**
   * Handles a peer's digest, which lists the grants of the peer if it understands requests for
   * memory.
   *
   * @param digest the digest
   */
  public void onDigest(NodeMessage.Digest digest) {
    if (digest.grants().isPresent()) {
      answering.add(digest.address());
    } else {
      answering.remove(digest.address());
    }
    node.memoryGrants()
        .updateFromPeer(digest.address(), digest.grants().orElse(List.of()), node.now());
  }

  /** Notes which endpoints this VM holds, and takes back the grants of VMs that are gone. */
  public void tick() {
    long now = node.now();
    node.endpoints().all().stream()
        .filter(e -> capacityTokens(e) > 0 && holds(e))
        .forEach(e -> node.memoryGrants().held(e.instance(), now));
    node.memoryGrants()
        .retainHeld(i -> node.endpoints().findInstance(i).filter(this::holds).isPresent());
    answering.removeIf(peers::isGone);
    int takenBack = node.memoryGrants().forget(peers::isGone);
    if (takenBack > 0) {
      node.log().line("memory_taken_back").field("grants", takenBack).write();
    }
  }
}
