package io.kumquatspindle.node.peer;

import io.kumquatspindle.api.fleet.CustomerInfo;
import io.kumquatspindle.api.fleet.FleetConfiguration;
import io.kumquatspindle.engine.fleet.CustomerQueue;
import io.kumquatspindle.engine.fleet.DistributedTokenBucket;
import io.kumquatspindle.node.NodeContext;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Enforces customers' rates across all VMs, and sends the digests that report consumption. */
public final class QuotaEnforcer {
  /** Share of the rate that is used until the other VMs are known; a site has at least 7 VMs. */
  private static final double INITIAL_SHARE = 0.125;

  /**
   * Number of digests to a peer of which one reports all consumption; the others report changes
   * only. A VM that has just started assumes that the consumption it first receives within {@link
   * Peers#peerTimeoutMs} was spent before it started.
   */
  private static final int DIGESTS_PER_FULL_DIGEST = 4;

  /** Time for which a peer's request counts are valid, as a multiple of the peer timeout. */
  private static final int RUNNING_TTL_FACTOR = 2;

  private final NodeContext node;
  private final Peers peers;
  private final Map<String, DistributedTokenBucket> quotas = new HashMap<>();
  private final Map<String, Map<String, Double>> unassignedConsumption = new HashMap<>();

  /** Model uses that have not been sent to the peers of each round yet; indexed by round. */
  private final List<Map<String, Long>> unsentModelUses = new ArrayList<>();

  /** Consumption last sent to the peers of each round; indexed by round. */
  private final List<Map<String, Double>> lastSentConsumption = new ArrayList<>();

  private int round;
  private int roundsSent;
  private final long process;
  private final CustomerWaits waits;
  private boolean membersKnown;

  /**
   * Creates the controller.
   *
   * @param node shared context
   * @param peers the other VMs
   * @param process random id of this process
   */
  public QuotaEnforcer(NodeContext node, Peers peers, long process) {
    this.node = node;
    this.peers = peers;
    this.process = process;
    this.waits = new CustomerWaits(node, this);
  }

  /**
   * Returns the requests that wait for the rates of their customers.
   *
   * @return the requests of this VM
   */
  public CustomerWaits waits() {
    return waits;
  }

  /** Handles that the members of all groups are known, so that the reachable share applies. */
  public void onMembersKnown() {
    membersKnown = true;
  }

  private double share() {
    return membersKnown ? peers.reachableShare() : INITIAL_SHARE;
  }

  /** Returns the shares of the rates that this VM may use now. */
  CustomerQueue.Shares shares() {
    // An equal part of what is available in a network partition is one part for each known VM.
    return new CustomerQueue.Shares(share(), membersKnown ? 1.0 / peers.vmCount() : INITIAL_SHARE);
  }

  /**
   * Charges a request if the customer's rate allows it.
   *
   * @param customer the customer
   * @param cost cost of the request
   * @return whether it is allowed
   */
  public boolean tryConsume(CustomerInfo customer, double cost) {
    return quota(customer).tryConsume(cost, share(), node.now());
  }

  /**
   * Refunds the cost of a request that did not run.
   *
   * @param customer the customer
   * @param cost cost of the request
   */
  public void refund(CustomerInfo customer, double cost) {
    quota(customer).refund(cost);
  }

  /**
   * Describes the state of a customer's quota, for the log.
   *
   * @param customer the customer
   * @return level, rate, burst and the share of the VMs that are reachable
   */
  public String describe(CustomerInfo customer) {
    return "level "
        + (long) quota(customer).level()
        + " rate "
        + (long) customer.ratePerSecond()
        + " burst "
        + (long) customer.burst()
        + " share "
        + share();
  }

  /**
   * Returns the level of a customer's token bucket.
   *
   * @param customer the customer
   * @return level in tokens; negative if there is a debt
   */
  public double level(CustomerInfo customer) {
    return quota(customer).level();
  }

  /**
   * Counts a request for a model, for the next digest.
   *
   * @param model name of the model
   */
  public void recordModelUse(String model) {
    resizeRounds();
    unsentModelUses.forEach(uses -> uses.merge(model, 1L, Long::sum));
  }

  private void resizeRounds() {
    int rounds = peers.roundsPerCycle();
    while (unsentModelUses.size() > rounds) {
      unsentModelUses.remove(unsentModelUses.size() - 1);
      lastSentConsumption.remove(lastSentConsumption.size() - 1);
    }
    while (unsentModelUses.size() < rounds) {
      unsentModelUses.add(new HashMap<>());
      lastSentConsumption.add(new HashMap<>());
    }
  }

  /**
   * Applies the customer limits of a new configuration.
   *
   * @param configuration the configuration
   */
  public void onConfiguration(FleetConfiguration configuration) {
    long now = node.now();
    for (CustomerInfo c : configuration.customers()) {
      quota(c).setLimits(c.ratePerSecond(), c.burst(), now);
    }
    waits.onConfiguration();
  }

  /**
   * Handles a peer's digest: consumption, running requests, speeds of endpoints, cached prompts,
   * queued loads, model uses and quarantined parts of prompts.
   *
   * @param digest the digest
   */
  public void onDigest(NodeMessage.Digest digest) {
    long now = node.now();
    String peer = digest.address() + "/" + digest.process();
    digest
        .consumed()
        .forEach(
            (customer, total) -> {
              DistributedTokenBucket q = quotas.get(customer);
              if (q != null) {
                q.setPeerTimeout(peers.peerTimeoutMs());
                q.recordPeerConsumption(peer, total, now);
              } else {
                unassignedConsumption
                    .computeIfAbsent(customer, c -> new HashMap<>())
                    .put(peer, total);
              }
            });
    long runningUntilMs = now + RUNNING_TTL_FACTOR * peers.peerTimeoutMs();
    node.activeRequests().updateFromPeer(peer, digest.running(), runningUntilMs);
    node.activeRequests().updateTokensFromPeer(peer, digest.tokens(), runningUntilMs);
    node.endpointSpeeds().updateFromPeer(peer, digest.speeds(), runningUntilMs);
    node.promptCacheIndex().updateFromPeer(digest.prompts(), now);
    node.loadQueues().updateFromPeer(peer, digest.queued(), now + peers.peerTimeoutMs());
    digest.models().forEach((model, uses) -> node.demand().addRequests(model, uses, now));
    node.promptQuarantine().updateFromPeer(digest.crashes(), digest.vouched(), now);
  }

  /** Handles that this VM was suspended, so that digests may have been missed. */
  public void onSuspended() {
    quotas.values().forEach(DistributedTokenBucket::forgetPeerTimes);
  }

  /**
   * Sends digests to the peers of the next round.
   *
   * @param fencingNumber fencing number of this VM's orders
   * @param partitions partitions that this VM holds
   * @param limits limits of the endpoints that this VM holds
   */
  public void sendDigests(
      long fencingNumber, Set<Integer> partitions, Set<NodeMessage.Limit> limits) {
    resizeRounds();
    round = (round + 1) % unsentModelUses.size();
    Map<String, Long> uses = unsentModelUses.get(round);
    Map<String, Double> consumed = consumptionToSend();
    Map<Boolean, List<String>> byDeaf =
        peers.addressesInRound(round).stream()
            .collect(Collectors.partitioningBy(a -> !peers.isReachable(a)));
    byDeaf.forEach(
        (deaf, addresses) -> {
          if (!addresses.isEmpty()) {
            peers
                .transport()
                .send(addresses, digest(deaf, consumed, uses, fencingNumber, partitions, limits));
          }
        });
    uses.clear();
  }

  /** Returns what has changed since the last digest of this round, or everything if it is due. */
  private Map<String, Double> consumptionToSend() {
    Map<String, Double> lastSent = lastSentConsumption.get(round);
    roundsSent++;
    if (roundsSent % (DIGESTS_PER_FULL_DIGEST * unsentModelUses.size()) < unsentModelUses.size()) {
      lastSent.clear();
    }
    Map<String, Double> consumed = new HashMap<>();
    quotas.forEach((name, q) -> consumed.put(name, q.consumed()));
    consumed.entrySet().removeIf(c -> c.getValue().equals(lastSent.get(c.getKey())));
    lastSent.putAll(consumed);
    return consumed;
  }

  private NodeMessage.Digest digest(
      boolean deaf,
      Map<String, Double> consumed,
      Map<String, Long> uses,
      long fencingNumber,
      Set<Integer> partitions,
      Set<NodeMessage.Limit> limits) {
    return new NodeMessage.Digest(
        process,
        peers.transport().self(),
        node.settings().domain(),
        node.configuration().map(FleetConfiguration::version).orElse(0L),
        deaf,
        consumed,
        uses,
        node.activeRequests().ownCounts(),
        node.loadQueues().ownQueues(),
        fencingNumber,
        partitions,
        peers.reachableCount(),
        node.promptQuarantine().evidence(node.now()),
        node.promptQuarantine().vouched(node.now()),
        limits,
        node.activeLoads().ownReports(node.now()),
        node.activeRequests().ownTokens(),
        node.endpointSpeeds().ownReports(lastDigestMs(), node.now()),
        node.promptCacheIndex().ownReports(lastDigestMs(), node.now()),
        true,
        Optional.of(node.memoryGrants().ownReports(node.now())));
  }

  /** Returns when the same peers got the last digest, with a margin for a late timer. */
  private long lastDigestMs() {
    return node.now() - peers.digestCycleMs() * 5 / 4;
  }

  /** Returns the bucket of a customer. */
  DistributedTokenBucket quota(CustomerInfo customer) {
    return quotas.computeIfAbsent(
        customer.name(),
        n -> {
          long now = node.now();
          DistributedTokenBucket q =
              new DistributedTokenBucket(customer.ratePerSecond(), customer.burst(), now);
          if (!node.settings().firstStart()) {
            q.limitInitialLevel(0);
          }
          unassignedConsumption
              .getOrDefault(n, Map.of())
              .forEach((peer, total) -> q.recordPeerConsumption(peer, total, now));
          unassignedConsumption.remove(n);
          return q;
        });
  }
}
