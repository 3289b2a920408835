package io.kumquatspindle.node.peer;

import io.kumquatspindle.engine.fleet.Hashes;
import io.kumquatspindle.node.NodeContext;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Keeps the other VMs that are known, detects which of them are reachable, and chooses those that
 * get a digest in each round. A peer is reachable while its digests arrive.
 */
public final class Peers {
  /**
   * Interval between rounds of digests, in ms. With few VMs each round goes to all of them, so the
   * interval bounds how far a customer can exceed its rate.
   */
  public static final long DIGEST_INTERVAL_MS = 200;

  /**
   * Maximum number of digests sent in a round. By the "vitals" log lines of 79 VMs, sending 80
   * digests a second and receiving as many takes 26 ms of processor time a second; the budget for
   * control traffic is 39 ms.
   */
  private static final int MAX_DIGESTS_PER_ROUND = 16;

  /** Number of missed digests after which a peer is considered unreachable. */
  private static final int MISSED_DIGESTS_LIMIT = 5;

  /**
   * Shortest time without any digest from a failure domain that shows it cut off, in ms; 3 rounds.
   */
  private static final long MIN_DOMAIN_TIMEOUT_MS = 600;

  /**
   * Number of peers of a failure domain that must miss their turn, without a digest from any other,
   * before it is considered cut off; all of them if there are fewer.
   */
  private static final int MISSED_TURNS_LIMIT = 3;

  /** Delay of a digest after its turn that is not taken for a missed one, in ms; two rounds. */
  private static final long TURN_SLACK_MS = 2 * DIGEST_INTERVAL_MS;

  /** Time without a digest after which a peer that is in no group is forgotten, in ms. */
  private static final long PEER_RETENTION_MS = 10_000;

  /** Shortest interval between {@code Known} messages to a peer, in ms; five digest intervals. */
  private static final long KNOWN_MESSAGE_INTERVAL_MS = 1_000;

  /** Time after which a {@code Known} message is repeated although nothing has changed, in ms. */
  private static final long KNOWN_REPETITION_MS = 10_000;

  private final NodeContext node;
  private final PeerTransport transport;
  private final Map<String, Peer> byAddress = new HashMap<>();
  private final Map<String, Set<String>> membersByDomain = new HashMap<>();
  private final Map<String, Domain> domainsByName = new HashMap<>();
  private long countedAtMs = Long.MIN_VALUE;
  private int counted;

  /** The peers of a failure domain that have sent at least one digest. */
  static final class Domain {
    private final String name;
    private final Set<Peer> peers = new HashSet<>();
    private long lastDigestMs;

    private Domain(String name) {
      this.name = name;
    }
  }

  /**
   * Creates an instance without peers.
   *
   * @param node shared context
   * @param transport connections to the other VMs
   */
  public Peers(NodeContext node, PeerTransport transport) {
    this.node = node;
    this.transport = transport;
  }

  /**
   * Replaces the members of a failure domain's group, and adds those that are not known yet.
   *
   * @param domain the failure domain
   * @param addresses peer addresses of the members
   */
  public void setGroupMembers(String domain, Set<String> addresses) {
    membersByDomain.put(domain, Set.copyOf(addresses));
    addresses.stream().filter(a -> !a.equals(transport.self())).forEach(a -> addIfAbsent(a));
  }

  private Peer addIfAbsent(String address) {
    Peer p = byAddress.get(address);
    if (p == null) {
      p = new Peer(node.now());
      byAddress.put(address, p);
      countedAtMs = Long.MIN_VALUE;
      node.log().line("peer_known").field("peer", address).write();
    }
    return p;
  }

  /**
   * Handles a digest: marks its sender reachable, resets the connection to a sender that does not
   * receive this VM's digests, and sends it peers that it does not reach.
   *
   * @param digest the digest
   */
  public void onDigest(NodeMessage.Digest digest) {
    Peer p = addIfAbsent(digest.address());
    long now = node.now();
    if (now - p.lastDigestMs > peerTimeoutMs()) {
      node.log().line("peer_heard").field("peer", digest.address()).write();
    }
    if (p.lastDigestMs != now) {
      p.lastDigestMs = now;
      countedAtMs = Long.MIN_VALUE;
    }
    p.sharesReads = digest.sharesReads();
    if (p.domain.filter(d -> d.name.equals(digest.domain())).isEmpty()) {
      removeFromDomain(p);
      p.domain = Optional.of(domainsByName.computeIfAbsent(digest.domain(), Domain::new));
      p.domain.get().peers.add(p);
    }
    p.domain.get().lastDigestMs = now;
    if (digest.deaf()) {
      transport.reset(digest.address());
    }
    if (now - p.lastKnownCheckMs >= KNOWN_MESSAGE_INTERVAL_MS) {
      p.lastKnownCheckMs = now;
      sendUnknownPeers(p, digest, now);
    }
  }

  private void sendUnknownPeers(Peer p, NodeMessage.Digest digest, long now) {
    Set<String> unknown = peersUnknownTo(digest);
    boolean repeated = unknown.equals(p.lastKnown) && now - p.lastKnownSentMs < KNOWN_REPETITION_MS;
    if (!unknown.isEmpty() && !repeated) {
      p.lastKnown = unknown;
      p.lastKnownSentMs = now;
      transport.send(digest.address(), new NodeMessage.Known(unknown));
    }
  }

  /**
   * Returns the peers to send to the sender of a digest if it reaches fewer VMs than this VM. Only
   * reachable peers are included, so that VMs do not keep telling each other of one that is gone.
   */
  Set<String> peersUnknownTo(NodeMessage.Digest digest) {
    // The first comparison spares the count, as nearly always all VMs are reachable.
    if (digest.heard() >= vmCount() || digest.heard() >= reachableCount()) {
      return Set.of();
    }
    Set<String> reachable = new HashSet<>(byAddress.keySet());
    reachable.removeIf(a -> !isReachable(a) || a.equals(digest.address()));
    return reachable;
  }

  /**
   * Adds the VMs that are reachable for a peer.
   *
   * @param message the peer's list
   */
  public void onKnown(NodeMessage.Known message) {
    message.addresses().stream()
        .filter(a -> !a.equals(transport.self()))
        .forEach(this::addIfAbsent);
  }

  /**
   * Returns whether a peer is reachable.
   *
   * @param address address of the peer
   * @return true if a digest has arrived within {@link #peerTimeoutMs}
   */
  public boolean isReachable(String address) {
    Peer p = byAddress.get(address);
    return p != null && node.now() - p.lastDigestMs <= peerTimeoutMs();
  }

  /**
   * Returns the failure domains that are considered cut off: VMs of theirs have sent digests, but
   * none does so any more.
   *
   * @return names of failure domains
   */
  public Set<String> unreachableDomains() {
    long now = node.now();
    Set<String> names = new HashSet<>();
    domainsByName.values().stream()
        .filter(d -> isUnreachable(d, now))
        .forEach(d -> names.add(d.name));
    return names;
  }

  /**
   * Returns whether the peers of a failure domain have missed their turns. The time since its last
   * digest alone does not show that: with many VMs each peer sends one in several rounds, and all
   * of them may do so in the same round.
   */
  private boolean isUnreachable(Domain d, long now) {
    if (d.name.equals(node.settings().domain()) || now - d.lastDigestMs <= MIN_DOMAIN_TIMEOUT_MS) {
      return false;
    }
    long cycleMs = digestCycleMs();
    int due = 0;
    int missed = 0;
    for (Peer p : d.peers) {
      long turnMs = p.lastDigestMs + cycleMs;
      if (turnMs >= d.lastDigestMs) {
        due++;
        missed += now > turnMs + TURN_SLACK_MS ? 1 : 0;
      }
    }
    return due > 0 && missed >= Math.min(MISSED_TURNS_LIMIT, due);
  }

  private static void removeFromDomain(Peer p) {
    p.domain.ifPresent(d -> d.peers.remove(p));
  }

  /**
   * Returns the number of rounds in which each peer gets one digest.
   *
   * @return at least 1
   */
  int roundsPerCycle() {
    return Math.max(1, (byAddress.size() + MAX_DIGESTS_PER_ROUND - 1) / MAX_DIGESTS_PER_ROUND);
  }

  /**
   * Returns the time in which each peer gets one digest.
   *
   * @return time in ms
   */
  public long digestCycleMs() {
    return roundsPerCycle() * DIGEST_INTERVAL_MS;
  }

  /**
   * Returns the time without a digest after which a peer is considered unreachable.
   *
   * @return time in ms
   */
  public long peerTimeoutMs() {
    return MISSED_DIGESTS_LIMIT * digestCycleMs();
  }

  /**
   * Returns the peers that get a digest in a round; they stay the same in each cycle while no peer
   * is added or removed. VMs that start together serve a peer in different rounds, so that it hears
   * from some VMs in each round.
   *
   * @param round number of the round, from 0
   * @return addresses
   */
  List<String> addressesInRound(int round) {
    List<String> sorted = addresses().stream().sorted().toList();
    int rounds = roundsPerCycle();
    int offset = (int) Math.floorMod(Hashes.of(transport.self()), (long) rounds);
    return IntStream.range(0, sorted.size())
        .filter(i -> (i + offset) % rounds == round)
        .mapToObj(sorted::get)
        .toList();
  }

  /**
   * Returns the addresses of the known peers, after dropping those that are to be forgotten.
   *
   * @return addresses
   */
  public List<String> addresses() {
    long now = node.now();
    // A VM that is still in its group may be cut off and consuming its share of the rates.
    byAddress
        .entrySet()
        .removeIf(
            e -> {
              boolean expired =
                  now - e.getValue().lastActivityMs() > PEER_RETENTION_MS
                      && !isGroupMember(e.getKey());
              if (expired) {
                removeFromDomain(e.getValue());
                countedAtMs = Long.MIN_VALUE;
              }
              return expired;
            });
    return List.copyOf(byAddress.keySet());
  }

  /**
   * Returns the addresses of the known peers in a failure domain.
   *
   * @param domain name of the failure domain
   * @return addresses
   */
  public List<String> addressesInDomain(String domain) {
    return addresses().stream()
        .filter(a -> byAddress.get(a).domain.filter(d -> d.name.equals(domain)).isPresent())
        .toList();
  }

  /**
   * Returns the reachable peers in the failure domain of this VM that understand updates of topics.
   *
   * @return addresses
   */
  public List<String> readSharers() {
    return addressesInDomain(node.settings().domain()).stream()
        .filter(a -> byAddress.get(a).sharesReads && isReachable(a))
        .toList();
  }

  /**
   * Returns whether a VM is neither reachable nor a member of its group.
   *
   * @param address its address
   * @return whether it has probably terminated
   */
  public boolean isGone(String address) {
    return !isReachable(address) && !isGroupMember(address);
  }

  private boolean isGroupMember(String address) {
    return membersByDomain.values().stream().anyMatch(n -> n.contains(address));
  }

  /**
   * Sends a message to all known peers.
   *
   * @param message the message
   */
  public void broadcast(NodeMessage message) {
    transport.send(addresses(), message);
  }

  /**
   * Returns the number of known VMs, this one included.
   *
   * @return at least 1
   */
  public int vmCount() {
    return byAddress.size() + 1;
  }

  /**
   * Returns the share of the known VMs that are reachable, this one included.
   *
   * @return share, more than 0, at most 1
   */
  public double reachableShare() {
    return (double) reachableCount() / vmCount();
  }

  /**
   * Returns the number of VMs that are reachable and not in a failure domain that is cut off.
   *
   * @return at least 1, this VM included
   */
  public int reachableCount() {
    long now = node.now();
    // Each request asks several times, and with many VMs the count takes longer than the rest.
    if (now != countedAtMs) {
      counted = countReachable(now);
      countedAtMs = now;
    }
    return counted;
  }

  private int countReachable(long now) {
    long timeoutMs = peerTimeoutMs();
    Set<String> unreachable = unreachableDomains();
    int reachable = 1;
    for (Peer p : byAddress.values()) {
      boolean cutOff = p.domain.filter(d -> unreachable.contains(d.name)).isPresent();
      reachable += now - p.lastDigestMs <= timeoutMs && !cutOff ? 1 : 0;
    }
    return reachable;
  }

  PeerTransport transport() {
    return transport;
  }
}
