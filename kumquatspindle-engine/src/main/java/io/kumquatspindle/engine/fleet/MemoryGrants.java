package io.kumquatspindle.engine.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Counts the memory of engines that is granted to large requests. Handles bursts of long prompts
 * that enter at many VMs within a cycle of digests: the VM that holds an engine counts exactly what
 * it has granted, where an estimate from digests would come too late. Half of the memory is
 * reserved for large requests; most of that is granted by the holder, and the rest is divided into
 * equal shares for VMs that get no answer from it. The two parts are separate, so that their sum
 * keeps to the reserved memory also while a holder and a VM disagree about whether they reach each
 * other. Not thread-safe: confined to one owner thread.
 *
 * <p>Each VM knows the grants of the others from their digests and keeps them, so that a new holder
 * counts what the former one has granted.
 */
public final class MemoryGrants {
  /** Part of the memory that is reserved for large requests. */
  static final double RESERVED_SHARE = 0.5;

  /** Part of the reserved memory that the holder grants; the VMs without a holder use the rest. */
  static final double HOLDER_SHARE = 0.75;

  /** A request is large if fewer than this many times the slots of its size fill the memory. */
  private static final long SMALL_REQUESTS_PER_SLOT = 4;

  /** Time for which a grant is counted after the deadline, for the request to end, in ms. */
  private static final long EXPIRY_MARGIN_MS = 1_000;

  /** Maximum number of grants in a digest; a VM has a few at a time. */
  private static final int MAX_REPORTS = 128;

  private final String self;
  private final Map<String, Map<Key, Grant>> byEndpoint = new HashMap<>();
  private final Map<String, Long> heldSinceMs = new HashMap<>();
  private final Map<Long, Share> ownShares = new HashMap<>();

  /**
   * A grant that the sender of a digest has.
   *
   * @param endpoint identity of the endpoint and its start
   * @param number number of the grant at the sender
   * @param tokens memory that is granted
   * @param remainingMs time until the deadline of the request, in ms
   */
  public record Report(String endpoint, long number, long tokens, long remainingMs) {}

  /**
   * What a VM asks for.
   *
   * @param vm address of the VM
   * @param number number of the grant at the VM
   * @param tokens memory that the request may need
   * @param deadlineInMs time until the deadline of the request, in ms
   */
  public record Claim(String vm, long number, long tokens, long deadlineInMs) {}

  private record Key(String vm, long number) {}

  /** Memory in use; {@code reported} if it is only known from a digest. */
  private record Grant(long tokens, long deadlineMs, boolean reported) {
    boolean expired(long now) {
      return now > deadlineMs + EXPIRY_MARGIN_MS;
    }
  }

  /** Memory that this VM uses of its own share. */
  private record Share(String endpoint, long tokens, long deadlineMs) {}

  /**
   * Creates an instance without grants.
   *
   * @param self address of this VM
   */
  public MemoryGrants(String self) {
    this.self = self;
  }

  /**
   * Returns whether a request needs a grant.
   *
   * @param tokens size of the request
   * @param capacity memory of the endpoint, in tokens; 0 if it has no bound
   * @param slots slots of the endpoint
   * @return whether the request is large there
   */
  public static boolean isLarge(long tokens, long capacity, int slots) {
    return capacity > 0 && tokens > capacity / (SMALL_REQUESTS_PER_SLOT * Math.max(1, slots));
  }

  /**
   * Handles that this VM holds an endpoint; called again while it does.
   *
   * @param endpoint identity of the endpoint and its start
   * @param now current time, in ms
   */
  public void held(String endpoint, long now) {
    heldSinceMs.putIfAbsent(endpoint, now);
  }

  /**
   * Keeps only the endpoints that this VM still holds. What it has granted of the others is now
   * known from digests only.
   *
   * @param holds returns whether this VM holds an endpoint
   */
  public void retainHeld(Predicate<String> holds) {
    Set<String> lost = new HashSet<>(heldSinceMs.keySet());
    lost.removeIf(holds);
    heldSinceMs.keySet().removeAll(lost);
    for (String endpoint : lost) {
      byEndpoint
          .getOrDefault(endpoint, Map.of())
          .replaceAll(
              (k, g) ->
                  new Grant(g.tokens(), g.deadlineMs(), g.reported() || !k.vm().equals(self)));
    }
  }

  /**
   * Returns whether this VM has held an endpoint for so long that it knows what the former holder
   * has granted.
   *
   * @param endpoint identity of the endpoint and its start
   * @param handoverMs time in which all VMs report their grants, in ms
   * @param now current time, in ms
   * @return whether it may grant memory there
   */
  public boolean mayGrant(String endpoint, long handoverMs, long now) {
    Long since = heldSinceMs.get(endpoint);
    return since != null && now - since >= handoverMs;
  }

  /**
   * Decides about a large request, at the VM that holds the endpoint.
   *
   * @param endpoint identity of the endpoint and its start
   * @param claim the request
   * @param capacity memory of the endpoint, in tokens
   * @param reachableShare share of the VMs that this VM reaches, more than 0, at most 1
   * @param roomAlone whether the request fits beside the small ones if it is the only large one
   * @param now current time, in ms
   * @return whether the memory is granted
   */
  public boolean grant(
      String endpoint,
      Claim claim,
      long capacity,
      double reachableShare,
      boolean roomAlone,
      long now) {
    long used = inUse(endpoint, now).stream().mapToLong(Grant::tokens).sum();
    boolean fits =
        used + claim.tokens() <= capacity * RESERVED_SHARE * HOLDER_SHARE * reachableShare;
    // A request that is larger than the reserved part may still use an engine for itself.
    boolean alone = used == 0 && reachableShare >= 1 && roomAlone && claim.tokens() <= capacity;
    if (!fits && !alone) {
      return false;
    }
    put(endpoint, claim, now);
    return true;
  }

  /**
   * Counts a grant that this VM or another one has.
   *
   * @param endpoint identity of the endpoint and its start
   * @param claim the request
   * @param now current time, in ms
   */
  public void put(String endpoint, Claim claim, long now) {
    byEndpoint
        .computeIfAbsent(endpoint, k -> new HashMap<>())
        .put(
            new Key(claim.vm(), claim.number()),
            new Grant(claim.tokens(), now + claim.deadlineInMs(), false));
  }

  /**
   * Decides about a large request of this VM without the holder of the endpoint.
   *
   * @param endpoint identity of the endpoint and its start
   * @param claim the request
   * @param capacity memory of the endpoint, in tokens
   * @param vms number of VMs, at least 1
   * @param now current time, in ms
   * @return whether the request fits in the share of this VM
   */
  public boolean takeOwnShare(String endpoint, Claim claim, long capacity, int vms, long now) {
    ownShares.values().removeIf(s -> now > s.deadlineMs() + EXPIRY_MARGIN_MS);
    long used =
        ownShares.values().stream()
            .filter(s -> s.endpoint().equals(endpoint))
            .mapToLong(Share::tokens)
            .sum();
    double share = capacity * RESERVED_SHARE * (1 - HOLDER_SHARE) / Math.max(1, vms);
    if (used + claim.tokens() > share) {
      return false;
    }
    ownShares.put(claim.number(), new Share(endpoint, claim.tokens(), now + claim.deadlineInMs()));
    return true;
  }

  /**
   * Handles that a grant is returned.
   *
   * @param vm address of the VM that had it
   * @param number number of the grant at that VM
   */
  public void returned(String vm, long number) {
    Key key = new Key(vm, number);
    byEndpoint.values().forEach(grants -> grants.remove(key));
    if (vm.equals(self)) {
      ownShares.remove(number);
    }
  }

  /**
   * Returns the memory of an endpoint that small requests may use: the part that is not reserved,
   * less what a single request has been granted beyond the reserved part. Reported grants are not
   * added up for this, because many of them have ended since.
   *
   * @param endpoint identity of the endpoint and its start
   * @param capacity memory of the endpoint, in tokens
   * @param now current time, in ms
   * @return number of tokens
   */
  double smallTokens(String endpoint, long capacity, long now) {
    long largest = inUse(endpoint, now).stream().mapToLong(Grant::tokens).max().orElse(0);
    return Math.min(capacity * (1 - RESERVED_SHARE), capacity - largest);
  }

  private Collection<Grant> inUse(String endpoint, long now) {
    Collection<Grant> grants = byEndpoint.getOrDefault(endpoint, Map.of()).values();
    grants.removeIf(g -> g.expired(now));
    return grants;
  }

  /**
   * Returns the grants that this VM has from the holders of endpoints, for sending to its peers.
   *
   * @param now current time, in ms
   * @return the grants, a bounded number
   */
  public List<Report> ownReports(long now) {
    byEndpoint.values().forEach(grants -> grants.values().removeIf(g -> g.expired(now)));
    byEndpoint.values().removeIf(Map::isEmpty);
    List<Report> reports = new ArrayList<>();
    byEndpoint.forEach(
        (endpoint, grants) ->
            grants.forEach(
                (k, g) -> {
                  if (k.vm().equals(self) && reports.size() < MAX_REPORTS) {
                    long remainingMs = Math.max(0, g.deadlineMs() - now);
                    reports.add(new Report(endpoint, k.number(), g.tokens(), remainingMs));
                  }
                }));
    return reports;
  }

  /**
   * Replaces the grants that a peer has by its report. Those that this VM itself has granted stay
   * until they are returned: the report may have been sent before the peer got the answer.
   *
   * @param vm address of the peer
   * @param reports grants of the peer
   * @param now current time, in ms
   */
  public void updateFromPeer(String vm, List<Report> reports, long now) {
    byEndpoint
        .values()
        .forEach(
            grants ->
                grants
                    .entrySet()
                    .removeIf(e -> e.getKey().vm().equals(vm) && e.getValue().reported()));
    for (Report r : reports) {
      byEndpoint
          .computeIfAbsent(r.endpoint(), k -> new HashMap<>())
          .putIfAbsent(new Key(vm, r.number()), new Grant(r.tokens(), now + r.remainingMs(), true));
    }
  }

  /**
   * Takes back the grants of VMs that are gone.
   *
   * @param gone returns whether a VM, by its address, is gone
   * @return number of grants
   */
  public int forget(Predicate<String> gone) {
    int forgotten = 0;
    for (Map<Key, Grant> grants : byEndpoint.values()) {
      int before = grants.size();
      grants.keySet().removeIf(k -> !k.vm().equals(self) && gone.test(k.vm()));
      forgotten += before - grants.size();
    }
    return forgotten;
  }
}
