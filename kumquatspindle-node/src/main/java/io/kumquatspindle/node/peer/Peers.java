package io.kumquatspindle.node.peer;

import io.kumquatspindle.node.NodeContext;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/** The other VMs: who is known, who is heard, and the digests that are exchanged with them. */
public final class Peers {
  /**
   * Time between rounds of digests, in ms; with few VMs each round goes to all of them, which
   * bounds what a customer gets beyond its rate.
   */
  public static final long DIGEST_MS = 200;

  /**
   * Digests in a round, at most: 80 a second, and as many heard, take 26 ms of processor time each
   * second by the lines "vitals" of 79 VMs, of 39 ms that control may take.
   */
  private static final int MOST_IN_ROUND = 16;

  /** Digests of a peer that are missing when it is taken not to be heard. */
  private static final int SILENT_DIGESTS = 5;

  /** Least silence of all VMs of a failure domain that shows a cut, in ms; three rounds. */
  private static final long DOMAIN_SILENT_MS = 600;

  /** Digests of a failure domain that are missing when it is taken to be cut off. */
  private static final int DOMAIN_SILENT_DIGESTS = 3;

  /** Silence after which a peer that no group names is forgotten, in ms. */
  private static final long FORGET_MS = 10_000;

  /** Least time between lists of VMs to the same peer, in ms; five digests. */
  private static final long TELL_MS = 1_000;

  private final NodeContext node;
  private final PeerLinks network;
  private final Map<String, Peer> byAddress = new HashMap<>();
  private final Map<String, Set<String>> named = new HashMap<>();
  private final Map<String, Domain> domains = new HashMap<>();

  private static final class Peer {
    private final long sinceMs;
    private long heardMs = Long.MIN_VALUE / 2;
    private long listSentMs = Long.MIN_VALUE / 2;
    private Optional<Domain> domain = Optional.empty();

    private Peer(long sinceMs) {
      this.sinceMs = sinceMs;
    }

    private long lastSignMs() {
      return Math.max(sinceMs, heardMs);
    }
  }

  /** The VMs of a failure domain that have been heard at all. */
  private static final class Domain {
    private final String name;
    private int vms;
    private long heardMs;

    private Domain(String name) {
      this.name = name;
    }
  }

  /**
   * Creates the list, empty.
   *
   * @param node shared context
   * @param network connections to the other VMs
   */
  public Peers(NodeContext node, PeerLinks network) {
    this.node = node;
    this.network = network;
  }

  /**
   * Takes the members that the group of a failure domain names, in place of those before.
   *
   * @param domain the failure domain
   * @param addresses addresses for peers
   */
  public void members(String domain, Set<String> addresses) {
    named.put(domain, Set.copyOf(addresses));
    addresses.stream().filter(a -> !a.equals(network.self())).forEach(a -> known(a));
  }

  private Peer known(String address) {
    Peer p = byAddress.get(address);
    if (p == null) {
      p = new Peer(node.now());
      byAddress.put(address, p);
      node.log().line("peer_known").field("peer", address).write();
    }
    return p;
  }

  /**
   * Takes the fact that a digest has arrived.
   *
   * @param digest the digest
   */
  public void heard(PeerMessage.Digest digest) {
    Peer p = known(digest.address());
    long now = node.now();
    if (now - p.heardMs > silentMs()) {
      node.log().line("peer_heard").field("peer", digest.address()).write();
    }
    p.heardMs = now;
    if (p.domain.filter(d -> d.name.equals(digest.domain())).isEmpty()) {
      leaveDomain(p);
      p.domain = Optional.of(domains.computeIfAbsent(digest.domain(), Domain::new));
      p.domain.get().vms++;
    }
    p.domain.get().heardMs = now;
    if (digest.deaf()) {
      network.reset(digest.address());
    }
    if (now - p.listSentMs >= TELL_MS) {
      p.listSentMs = now;
      Set<String> missing = missing(digest);
      if (!missing.isEmpty()) {
        network.send(digest.address(), new PeerMessage.Known(missing));
      }
    }
  }

  /**
   * Returns the VMs to tell the sender of a digest about. Only VMs that are heard are passed on, so
   * that a VM that is gone is not passed on for ever.
   */
  Set<String> missing(PeerMessage.Digest digest) {
    if (digest.heard() >= heardCount()) {
      return Set.of();
    }
    Set<String> heard = new HashSet<>(byAddress.keySet());
    heard.removeIf(a -> !audible(a) || a.equals(digest.address()));
    return heard;
  }

  /**
   * Takes the VMs that a peer hears.
   *
   * @param message the peer's list
   */
  public void told(PeerMessage.Known message) {
    message.addresses().stream().filter(a -> !a.equals(network.self())).forEach(this::known);
  }

  /**
   * Tells whether a peer has been heard lately.
   *
   * @param address address of the peer
   * @return whether it has
   */
  public boolean audible(String address) {
    Peer p = byAddress.get(address);
    return p != null && node.now() - p.heardMs <= silentMs();
  }

  /**
   * Returns failure domains none of whose known VMs is heard, though some were: they are cut off.
   *
   * @return names of failure domains
   */
  public Set<String> silentDomains() {
    long now = node.now();
    Set<String> names = new HashSet<>();
    domains.values().stream().filter(d -> silent(d, now)).forEach(d -> names.add(d.name));
    return names;
  }

  private boolean silent(Domain d, long now) {
    if (d.vms == 0 || d.name.equals(node.settings().domain())) {
      return false;
    }
    long digestMs = rounds() * DIGEST_MS / d.vms;
    return now - d.heardMs > Math.max(DOMAIN_SILENT_MS, DOMAIN_SILENT_DIGESTS * digestMs);
  }

  private static void leaveDomain(Peer p) {
    p.domain.ifPresent(d -> d.vms--);
  }

  /**
   * Returns the number of rounds of digests after which each peer has got one.
   *
   * @return at least 1
   */
  int rounds() {
    return Math.max(1, (byAddress.size() + MOST_IN_ROUND - 1) / MOST_IN_ROUND);
  }

  /**
   * Returns the silence after which a peer is taken not to be heard.
   *
   * @return time in ms
   */
  long silentMs() {
    return SILENT_DIGESTS * rounds() * DIGEST_MS;
  }

  /**
   * Returns the peers that get a digest in a round, the same ones each time.
   *
   * @param round number of the round, from 0
   * @return addresses
   */
  List<String> inRound(int round) {
    List<String> sorted = addresses().stream().sorted().toList();
    return IntStream.range(0, sorted.size())
        .filter(i -> i % rounds() == round)
        .mapToObj(sorted::get)
        .toList();
  }

  /**
   * Returns the peers to send to.
   *
   * @return addresses
   */
  public List<String> addresses() {
    long now = node.now();
    // A VM that its group still names may be cut off and spending its share.
    byAddress
        .entrySet()
        .removeIf(
            e -> {
              boolean gone = now - e.getValue().lastSignMs() > FORGET_MS && !named(e.getKey());
              if (gone) {
                leaveDomain(e.getValue());
              }
              return gone;
            });
    return List.copyOf(byAddress.keySet());
  }

  /**
   * Returns the peers of a failure domain.
   *
   * @param domain name of the failure domain
   * @return addresses
   */
  public List<String> inDomain(String domain) {
    return addresses().stream()
        .filter(a -> byAddress.get(a).domain.filter(d -> d.name.equals(domain)).isPresent())
        .toList();
  }

  private boolean named(String address) {
    return named.values().stream().anyMatch(n -> n.contains(address));
  }

  /**
   * Sends a message to all peers.
   *
   * @param message the message
   */
  public void broadcast(PeerMessage message) {
    network.send(addresses(), message);
  }

  /**
   * Returns the number of VMs, this one included.
   *
   * @return at least 1
   */
  public int vms() {
    return byAddress.size() + 1;
  }

  /**
   * Returns the share of all VMs that this one hears, itself included.
   *
   * @return share, more than 0, at most 1
   */
  public double audibleShare() {
    return (double) heardCount() / vms();
  }

  /**
   * Returns the number of VMs that this one hears.
   *
   * @return at least 1, this VM included
   */
  public int heardCount() {
    long now = node.now();
    long silentMs = silentMs();
    int heard = 1;
    for (Peer p : byAddress.values()) {
      boolean cutOff = p.domain.isPresent() && silent(p.domain.get(), now);
      heard += now - p.heardMs <= silentMs && !cutOff ? 1 : 0;
    }
    return heard;
  }

  PeerLinks links() {
    return network;
  }
}
