package io.kumquatspindle.node.order;

import io.kumquatspindle.engine.fleet.Hashes;
import io.kumquatspindle.engine.fleet.OrderLease;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.peer.PeerMessage;
import io.kumquatspindle.node.peer.Peers;
import io.kumquatspindle.node.peer.QuotaController;
import io.kumquatspindle.node.port.RecordStore;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Who orders which endpoints: a group of the store for each failure domain, whose members are its
 * VMs. An endpoint belongs to the partition that its identity hashes to.
 */
public final class Owners {
  /** Time between joins, in ms; a third of the time to live. */
  private static final long JOIN_MS = 1_000;

  /** Time to live of a member, in ms; one lost join does not cost the partitions. */
  private static final long TTL_MS = 3_000;

  /** Time between questions for the members of all groups, in ms. */
  private static final long OWNERS_MS = 30_000;

  /** Time between questions until all groups have answered once, in ms. */
  private static final long FIRST_OWNERS_MS = 1_500;

  /** Difference between the clocks that shows a suspension, in ms; clocks are set by less. */
  private static final long SUSPENDED_MS = 400;

  private final NodeContext node;
  private final RecordStore store;
  private final Peers peers;
  private final QuotaController quotas;
  private final OrderLease lease;
  private final String member;
  private final Map<String, Map<Integer, String>> members = new HashMap<>();
  private final Map<String, Map<Integer, Long>> holderFences = new HashMap<>();
  private final Set<String> answered = new HashSet<>();
  private final long ttlMs;
  private long askedMs = Long.MIN_VALUE / 2;
  private long joinedMs = Long.MIN_VALUE / 2;
  private boolean joining;
  private boolean left;
  private long lastTickMs;
  private long lastTickWallMs;

  /**
   * Creates the owner of nothing.
   *
   * @param node shared context
   * @param store the store
   * @param peers the other VMs
   * @param quotas told when the VMs are known
   * @param self address of this VM for peers
   */
  public Owners(
      NodeContext node, RecordStore store, Peers peers, QuotaController quotas, String self) {
    this.node = node;
    this.store = store;
    this.peers = peers;
    this.quotas = quotas;
    this.member = self + "|" + node.settings().vm();
    this.ttlMs = Math.max(TTL_MS, node.settings().groupTtlMinMs());
    this.lease = new OrderLease(ttlMs, node.settings().leaseMs(), node.settings().fenced());
    this.lastTickMs = node.now();
    this.lastTickWallMs = System.currentTimeMillis();
  }

  /** Called several times a second. */
  public void tick() {
    long now = node.now();
    long wall = System.currentTimeMillis();
    if ((wall - lastTickWallMs) - (now - lastTickMs) > SUSPENDED_MS) {
      node.log()
          .line("suspended")
          .field("for_ms", (wall - lastTickWallMs) - (now - lastTickMs))
          .write();
      lease.drop();
      quotas.suspended();
      joinedMs = Long.MIN_VALUE / 2;
    }
    lastTickMs = now;
    lastTickWallMs = wall;
    if (left || joining) {
      return;
    }
    if (now - joinedMs >= JOIN_MS) {
      join(now, wall);
    }
    boolean all = answered.size() >= node.settings().domains().size();
    if (now - askedMs >= (all ? OWNERS_MS : FIRST_OWNERS_MS)) {
      askOwners();
    }
  }

  private void join(long now, long wall) {
    joining = true;
    joinedMs = now;
    int before = lease.size();
    long generation = lease.fence();
    store.join(
        group(node.settings().domain()),
        member,
        generation,
        ttlMs,
        answer -> {
          joining = false;
          answer.ifPresent(
              j -> {
                lease.renewed(now, wall, j.generation(), j.partitions(), node.now());
                if (j.generation() != generation) {
                  node.log()
                      .line("partitions")
                      .field("generation", j.generation())
                      .field("held", j.partitions().size())
                      .field("held_before", before)
                      .write();
                  // A group names only members that hold partitions: VMs that joined at the same
                  // time see each other only if both ask after they have got some.
                  if (before == 0 && lease.size() > 0) {
                    answered.clear();
                    askOwners();
                  } else {
                    askOwners(node.settings().domain());
                  }
                }
              });
        });
  }

  private void askOwners() {
    askedMs = node.now();
    node.settings().domains().forEach(this::askOwners);
  }

  private void askOwners(String domain) {
    store.partitionOwners(
        group(domain),
        answer ->
            answer.ifPresent(
                rows -> {
                  answered.add(domain);
                  Map<Integer, String> holders =
                      members.computeIfAbsent(domain, d -> new HashMap<>());
                  holders.putAll(rows);
                  // The store names nobody for a partition whose member has left.
                  holders.values().removeIf(String::isBlank);
                  rows.values().removeIf(String::isBlank);
                  Set<String> addresses = new HashSet<>();
                  rows.values().forEach(m -> addresses.add(address(m)));
                  peers.members(domain, addresses);
                  if (answered.size() >= node.settings().domains().size()) {
                    quotas.membersKnown();
                  }
                }));
  }

  /**
   * Leaves the group, so that other VMs take over at once.
   *
   * @param done called when the store has answered or not answered in time
   */
  public void leave(Runnable done) {
    left = true;
    lease.drop();
    store.leave(group(node.settings().domain()), member, done);
  }

  private static String group(String domain) {
    return "orders-" + domain;
  }

  private static String address(String member) {
    int bar = member.indexOf('|');
    return bar < 0 ? member : member.substring(0, bar);
  }

  private int partition(String endpoint) {
    return (int) Math.floorMod(Hashes.of(endpoint), (long) store.partitionCount());
  }

  /**
   * Tells whether this VM holds an endpoint, though perhaps may not order it yet.
   *
   * @param endpoint identity of the endpoint
   * @param domain its failure domain
   * @return whether it does
   */
  public boolean holds(String endpoint, String domain) {
    return domain.equals(node.settings().domain()) && lease.holds(partition(endpoint));
  }

  /**
   * Tells whether this VM may order an endpoint now.
   *
   * @param endpoint identity of the endpoint
   * @return whether it may
   */
  public boolean mayOrder(String endpoint) {
    return lease.mayOrder(partition(endpoint), node.now(), System.currentTimeMillis());
  }

  /**
   * Notes that an endpoint has seen a higher fencing number.
   *
   * @param endpoint identity of the endpoint
   */
  public void outranked(String endpoint) {
    lease.outranked(partition(endpoint));
    joinedMs = Long.MIN_VALUE / 2;
  }

  /**
   * Returns the partitions that this VM holds.
   *
   * @return partitions
   */
  public Set<Integer> held() {
    return lease.held();
  }

  /**
   * Takes what another VM holds, which is newer than what the store was asked for.
   *
   * @param digest the other VM's digest
   */
  public void heard(PeerMessage.Digest digest) {
    if (digest.domain().equals(node.settings().domain())) {
      lease.othersHold(digest.fence(), digest.partitions());
    }
    Map<Integer, Long> fences = holderFences.computeIfAbsent(digest.domain(), d -> new HashMap<>());
    Map<Integer, String> holders = members.computeIfAbsent(digest.domain(), d -> new HashMap<>());
    for (int p : digest.partitions()) {
      if (digest.fence() >= fences.getOrDefault(p, 0L)) {
        fences.put(p, digest.fence());
        holders.put(p, digest.address());
      }
    }
  }

  /**
   * Returns the fencing number of this VM.
   *
   * @return fencing number
   */
  public long fence() {
    return lease.fence();
  }

  /**
   * Returns the VM that orders an endpoint, as far as this one knows.
   *
   * @param endpoint identity of the endpoint
   * @param domain its failure domain
   * @return address for peers, if it is known
   */
  public Optional<String> holder(String endpoint, String domain) {
    return Optional.ofNullable(members.getOrDefault(domain, Map.of()).get(partition(endpoint)))
        .map(Owners::address);
  }
}
