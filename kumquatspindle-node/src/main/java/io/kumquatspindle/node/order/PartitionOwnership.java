package io.kumquatspindle.node.order;

import io.kumquatspindle.engine.fleet.GroupGeneration;
import io.kumquatspindle.engine.fleet.Hashes;
import io.kumquatspindle.engine.fleet.OrderLease;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.peer.NodeMessage;
import io.kumquatspindle.node.peer.Peers;
import io.kumquatspindle.node.peer.QuotaEnforcer;
import io.kumquatspindle.node.port.RecordStore;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Tracks which VM holds which endpoints. Each failure domain has a group in the store whose members
 * are the VMs of the domain and share its partitions. An endpoint belongs to the partition that its
 * identity hashes to.
 */
public final class PartitionOwnership {
  /** Interval between joins, in ms; a third of {@link #MEMBER_TTL_MS}. */
  private static final long JOIN_INTERVAL_MS = 1_000;

  /** Time to live of a member, in ms; long enough that one lost join does not lose partitions. */
  private static final long MEMBER_TTL_MS = 3_000;

  /** Time by which a join may be late, in ms: the interval of the checks, and a slow response. */
  private static final long TICK_SLACK_MS = 200;

  /** Interval between requests for the members of all groups, in ms. */
  private static final long OWNERS_INTERVAL_MS = 30_000;

  /** Interval between these requests until all groups have answered once, in ms. */
  private static final long INITIAL_OWNERS_INTERVAL_MS = 1_500;

  /**
   * Difference between the wall clock's and the monotonic clock's progress above which this VM is
   * taken to have been suspended, in ms; adjustments of the wall clock are smaller.
   */
  private static final long SUSPENSION_THRESHOLD_MS = 400;

  private final NodeContext node;
  private final RecordStore store;
  private final Peers peers;
  private final QuotaEnforcer quotas;
  private final OrderLease lease;
  private final String member;
  private final Map<String, Map<Integer, String>> holdersByDomain = new HashMap<>();
  private final Map<String, Map<Integer, Long>> fencingNumbersByDomain = new HashMap<>();
  private final Set<String> answeredDomains = new HashSet<>();
  private final long ttlMs;
  private long lastOwnersRequestMs = Long.MIN_VALUE / 2;
  private long lastJoinMs = Long.MIN_VALUE / 2;
  private boolean joinPending;
  private boolean ownersReadAtStart;
  private boolean leftGroup;
  private long lastTickMs;
  private long lastTickWallClockMs;

  /**
   * Creates an ownership without partitions.
   *
   * @param node shared context
   * @param store the store
   * @param peers the other VMs
   * @param quotas notified when the members of all groups are known, and of suspensions
   * @param self peer address of this VM
   */
  public PartitionOwnership(
      NodeContext node, RecordStore store, Peers peers, QuotaEnforcer quotas, String self) {
    this.node = node;
    this.store = store;
    this.peers = peers;
    this.quotas = quotas;
    this.member = self + "|" + node.settings().vm();
    this.ttlMs = Math.max(MEMBER_TTL_MS, node.settings().groupTtlMinMs());
    // The store may reassign a partition at once; its holder learns that from its next join.
    long handoverDelayMs = node.settings().leaseMs() + JOIN_INTERVAL_MS + TICK_SLACK_MS;
    this.lease = new OrderLease(ttlMs, handoverDelayMs, node.settings().fenced());
    node.storeEra().addListener((era, before) -> onEraChanged());
    this.lastTickMs = node.now();
    this.lastTickWallClockMs = System.currentTimeMillis();
  }

  /** Joins the group and requests its members when due; called several times a second. */
  public void tick() {
    long now = node.now();
    long wallClockMs = System.currentTimeMillis();
    if ((wallClockMs - lastTickWallClockMs) - (now - lastTickMs) > SUSPENSION_THRESHOLD_MS) {
      node.log()
          .line("suspended")
          .field("for_ms", (wallClockMs - lastTickWallClockMs) - (now - lastTickMs))
          .write();
      lease.releaseAll();
      quotas.onSuspended();
      lastJoinMs = Long.MIN_VALUE / 2;
    }
    lastTickMs = now;
    lastTickWallClockMs = wallClockMs;
    if (leftGroup || joinPending) {
      return;
    }
    // Engines that ignore fencing numbers obey two VMs at once if the store assigned the partitions
    // shortly before the restart, or lists the assignment of a copy.
    if (!ownersReadAtStart && node.settings().fenced()) {
      readOwnersAtStart();
      return;
    }
    joinWhenDue(now, wallClockMs);
  }

  /**
   * Joins again without waiting for the next interval, as the group's members and generation are
   * those of a copy. Until the response arrives, the partitions and the fencing number stay: orders
   * with it are refused once the next owner has sent one.
   */
  private void onEraChanged() {
    lease.discardRetained();
    lastJoinMs = Long.MIN_VALUE / 2;
    answeredDomains.clear();
  }

  private void joinWhenDue(long now, long wallClockMs) {
    if (now - lastJoinMs >= JOIN_INTERVAL_MS) {
      join(now, wallClockMs);
    }
    boolean allAnswered = answeredDomains.size() >= node.settings().domains().size();
    if (now - lastOwnersRequestMs
        >= (allAnswered ? OWNERS_INTERVAL_MS : INITIAL_OWNERS_INTERVAL_MS)) {
      requestOwners();
    }
  }

  /** Asks which partitions the group has assigned to this VM since before a restart, then joins. */
  private void readOwnersAtStart() {
    ownersReadAtStart = true;
    joinPending = true;
    store.partitionOwners(
        groupName(node.settings().domain()),
        response -> {
          joinPending = false;
          Map<Integer, String> owners = response.orElse(Map.of());
          lease.retain(
              owners.keySet().stream()
                  .filter(p -> owners.get(p).equals(member))
                  .collect(Collectors.toSet()));
          if (!leftGroup) {
            joinWhenDue(node.now(), System.currentTimeMillis());
          }
        });
  }

  private void join(long now, long wallClockMs) {
    joinPending = true;
    lastJoinMs = now;
    int heldBefore = lease.size();
    GroupGeneration generation = lease.generation();
    boolean ofThisEra = generation.era() == node.storeEra().current();
    store.join(
        groupName(node.settings().domain()),
        member,
        ofThisEra ? generation.number() : 0,
        ttlMs,
        response -> {
          joinPending = false;
          response.ifPresent(
              joined -> {
                lease.renewed(
                    now, wallClockMs, joined.generation(), joined.partitions(), node.now());
                if (!joined.generation().equals(generation)) {
                  node.log()
                      .line("partitions")
                      .field("era", joined.generation().era())
                      .field("generation", joined.generation().number())
                      .field("held", joined.partitions().size())
                      .field("held_before", heldBefore)
                      .write();
                  // A group lists only members that hold partitions: VMs that join at the same
                  // time find each other only if both ask again once they hold partitions.
                  if (heldBefore == 0 && lease.size() > 0) {
                    answeredDomains.clear();
                    requestOwners();
                  } else {
                    requestOwners(node.settings().domain());
                  }
                }
              });
        });
  }

  private void requestOwners() {
    lastOwnersRequestMs = node.now();
    node.settings().domains().forEach(this::requestOwners);
  }

  private void requestOwners(String domain) {
    store.partitionOwners(
        groupName(domain),
        response ->
            response.ifPresent(
                members -> {
                  answeredDomains.add(domain);
                  Map<Integer, String> holders =
                      holdersByDomain.computeIfAbsent(domain, d -> new HashMap<>());
                  holders.putAll(members);
                  // A partition whose member has left has a blank member in the response.
                  holders.values().removeIf(String::isBlank);
                  members.values().removeIf(String::isBlank);
                  Set<String> addresses = new HashSet<>();
                  members.values().forEach(m -> addresses.add(peerAddress(m)));
                  peers.setGroupMembers(domain, addresses);
                  if (answeredDomains.size() >= node.settings().domains().size()) {
                    quotas.onMembersKnown();
                  }
                }));
  }

  /**
   * Leaves the group, so that other VMs take over its partitions without waiting for the timeout.
   *
   * @param done called when the store has answered or the call has timed out
   */
  public void leave(Runnable done) {
    leftGroup = true;
    lease.releaseAll();
    store.leave(groupName(node.settings().domain()), member, done);
  }

  private static String groupName(String domain) {
    return "orders-" + domain;
  }

  private static String peerAddress(String member) {
    int separator = member.indexOf('|');
    return separator < 0 ? member : member.substring(0, separator);
  }

  private int partitionOf(String endpoint) {
    return (int) Math.floorMod(Hashes.of(endpoint), (long) store.partitionCount());
  }

  /**
   * Returns whether this VM holds an endpoint; see {@link #mayOrder} for whether it may already
   * send orders.
   *
   * @param endpoint identity of the endpoint
   * @param domain its failure domain
   * @return true if this VM holds the endpoint's partition
   */
  public boolean holds(String endpoint, String domain) {
    return domain.equals(node.settings().domain()) && lease.holds(partitionOf(endpoint));
  }

  /**
   * Returns whether this VM may send orders to an endpoint now.
   *
   * @param endpoint identity of the endpoint
   * @return true if the lease of the endpoint's partition allows orders
   */
  public boolean mayOrder(String endpoint) {
    return lease.mayOrder(partitionOf(endpoint), node.now(), System.currentTimeMillis());
  }

  /**
   * Handles that an endpoint rejected an order because it has seen a higher fencing number.
   *
   * @param endpoint identity of the endpoint
   */
  public void onFenced(String endpoint) {
    lease.markFenced(partitionOf(endpoint));
    lastJoinMs = Long.MIN_VALUE / 2;
  }

  /**
   * Returns the partitions that this VM holds.
   *
   * @return partitions
   */
  public Set<Integer> heldPartitions() {
    return lease.held();
  }

  /**
   * Applies the partitions that another VM reports; they are newer than the store's last response.
   *
   * @param digest the other VM's digest
   */
  public void onDigest(NodeMessage.Digest digest) {
    if (digest.domain().equals(node.settings().domain())) {
      lease.releaseHeldByPeer(digest.fence(), digest.partitions());
    }
    Map<Integer, Long> fencingNumbers =
        fencingNumbersByDomain.computeIfAbsent(digest.domain(), d -> new HashMap<>());
    Map<Integer, String> holders =
        holdersByDomain.computeIfAbsent(digest.domain(), d -> new HashMap<>());
    for (int partition : digest.partitions()) {
      if (digest.fence() >= fencingNumbers.getOrDefault(partition, 0L)) {
        fencingNumbers.put(partition, digest.fence());
        holders.put(partition, digest.address());
      }
    }
  }

  /**
   * Returns the fencing number of this VM.
   *
   * @return fencing number
   */
  public long fencingNumber() {
    return lease.fencingNumber();
  }

  /**
   * Returns the VM that holds an endpoint, as far as this VM knows.
   *
   * @param endpoint identity of the endpoint
   * @param domain its failure domain
   * @return peer address, or empty if the holder is not known
   */
  public Optional<String> holder(String endpoint, String domain) {
    return Optional.ofNullable(
            holdersByDomain.getOrDefault(domain, Map.of()).get(partitionOf(endpoint)))
        .map(PartitionOwnership::peerAddress);
  }
}
