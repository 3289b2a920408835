package io.kumquatspindle.node.peer;

import io.kumquatspindle.api.fleet.CustomerInfo;
import io.kumquatspindle.api.fleet.FleetConfiguration;
import io.kumquatspindle.engine.fleet.FleetQuota;
import io.kumquatspindle.node.NodeContext;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Customers' rates over all VMs, and the digests that carry what was consumed. */
public final class QuotaController {
  /** Share of the rate until the other VMs are known; a site has at least 7 VMs. */
  private static final double UNKNOWN_SHARE = 0.125;

  /**
   * Digests to a peer of which one tells all consumption and the others what is new. A VM that has
   * just started takes what it hears first in {@link Peers#silentMs} as spent before it started.
   */
  private static final int FULL_EVERY = 4;

  /** Time for which a peer's counts of requests are valid, in times after which it is silent. */
  private static final int RUNNING_VALID = 2;

  private final NodeContext node;
  private final Peers peers;
  private final Map<String, FleetQuota> byCustomer = new HashMap<>();
  private final Map<String, Map<String, Double>> early = new HashMap<>();

  /** Uses of models that the peers of each round have not been told of. */
  private final List<Map<String, Long>> modelUses = new ArrayList<>();

  /** Consumption that the peers of each round were told last. */
  private final List<Map<String, Double>> consumedTold = new ArrayList<>();

  private int round;
  private int roundsTold;
  private final long process;
  private boolean membersKnown;

  /**
   * Creates the controller.
   *
   * @param node shared context
   * @param peers the other VMs
   * @param process random identity of this process
   */
  public QuotaController(NodeContext node, Peers peers, long process) {
    this.node = node;
    this.peers = peers;
    this.process = process;
  }

  /** Notes that the groups have named the other VMs. */
  public void membersKnown() {
    membersKnown = true;
  }

  private double share() {
    return membersKnown ? peers.audibleShare() : UNKNOWN_SHARE;
  }

  /**
   * Charges a request if the customer's rate allows it.
   *
   * @param customer the customer
   * @param cost cost of the request
   * @return whether it is allowed
   */
  public boolean tryTake(CustomerInfo customer, double cost) {
    return quota(customer).tryTake(cost, share(), node.now());
  }

  /**
   * Gives back the cost of a request that did not run.
   *
   * @param customer the customer
   * @param cost cost of the request
   */
  public void giveBack(CustomerInfo customer, double cost) {
    quota(customer).giveBack(cost);
  }

  /**
   * Returns when a customer that is over its rate should come back.
   *
   * @param customer the customer
   * @param cost cost of the request
   * @return time in ms
   */
  public long waitMs(CustomerInfo customer, double cost) {
    return quota(customer).waitMs(cost, share());
  }

  /**
   * Describes what is left of a customer's rate, for the log.
   *
   * @param customer the customer
   * @return level, rate, burst and the share of the VMs that are heard
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
   * Returns what is left of a customer's rate.
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
  public void modelUsed(String model) {
    fitRounds();
    modelUses.forEach(uses -> uses.merge(model, 1L, Long::sum));
  }

  private void fitRounds() {
    int rounds = peers.rounds();
    while (modelUses.size() > rounds) {
      modelUses.remove(modelUses.size() - 1);
      consumedTold.remove(consumedTold.size() - 1);
    }
    while (modelUses.size() < rounds) {
      modelUses.add(new HashMap<>());
      consumedTold.add(new HashMap<>());
    }
  }

  /**
   * Takes the limits of a new configuration.
   *
   * @param configuration the configuration
   */
  public void configured(FleetConfiguration configuration) {
    long now = node.now();
    for (CustomerInfo c : configuration.customers()) {
      quota(c).limits(c.ratePerSecond(), c.burst(), now);
    }
  }

  /**
   * Takes a peer's digest.
   *
   * @param digest the digest
   */
  public void heard(PeerMessage.Digest digest) {
    long now = node.now();
    String peer = digest.address() + "/" + digest.process();
    digest
        .consumed()
        .forEach(
            (customer, total) -> {
              FleetQuota q = byCustomer.get(customer);
              if (q != null) {
                q.silentAfter(peers.silentMs());
                q.peerConsumed(peer, total, now);
              } else {
                early.computeIfAbsent(customer, c -> new HashMap<>()).put(peer, total);
              }
            });
    node.running().told(peer, digest.running(), now + RUNNING_VALID * peers.silentMs());
    node.queues().told(peer, digest.queued(), now + peers.silentMs());
    digest.models().forEach((model, uses) -> node.demand().add(model, uses, now));
  }

  /** Notes that this VM was suspended. */
  public void suspended() {
    byCustomer.values().forEach(FleetQuota::suspended);
  }

  /**
   * Sends a digest to the peers of the next round.
   *
   * @param fence fencing number of this VM's orders
   * @param partitions partitions that this VM holds
   */
  public void tell(long fence, Set<Integer> partitions) {
    fitRounds();
    round = (round + 1) % modelUses.size();
    Map<String, Long> uses = modelUses.get(round);
    Map<String, Double> consumed = newlyConsumed();
    Map<Boolean, List<String>> byDeaf =
        peers.inRound(round).stream().collect(Collectors.partitioningBy(a -> !peers.audible(a)));
    byDeaf.forEach(
        (deaf, to) -> {
          if (!to.isEmpty()) {
            peers.links().send(to, digest(deaf, consumed, uses, fence, partitions));
          }
        });
    uses.clear();
  }

  /** Returns what the peers of this round have not been told, and all of it now and then. */
  private Map<String, Double> newlyConsumed() {
    Map<String, Double> told = consumedTold.get(round);
    roundsTold++;
    if (roundsTold % (FULL_EVERY * modelUses.size()) < modelUses.size()) {
      told.clear();
    }
    Map<String, Double> consumed = new HashMap<>();
    byCustomer.forEach((name, q) -> consumed.put(name, q.consumed()));
    consumed.entrySet().removeIf(c -> c.getValue().equals(told.get(c.getKey())));
    told.putAll(consumed);
    return consumed;
  }

  private PeerMessage.Digest digest(
      boolean deaf,
      Map<String, Double> consumed,
      Map<String, Long> uses,
      long fence,
      Set<Integer> partitions) {
    return new PeerMessage.Digest(
        process,
        peers.links().self(),
        node.settings().domain(),
        node.configuration().map(FleetConfiguration::version).orElse(0L),
        deaf,
        consumed,
        uses,
        node.running().own(),
        node.queues().own(),
        fence,
        partitions,
        peers.heardCount());
  }

  private FleetQuota quota(CustomerInfo customer) {
    return byCustomer.computeIfAbsent(
        customer.name(),
        n -> {
          long now = node.now();
          FleetQuota q = new FleetQuota(customer.ratePerSecond(), customer.burst(), now);
          if (!node.settings().firstStart()) {
            q.startWith(0);
          }
          early
              .getOrDefault(n, Map.of())
              .forEach((peer, total) -> q.peerConsumed(peer, total, now));
          early.remove(n);
          return q;
        });
  }
}
