package io.kumquatspindle.engine.fleet;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Finds parts of prompts that crash every endpoint that answers them, and quarantines them. Handles
 * a share of the requests that contains such a part, spread over all VMs, customers and models,
 * beside sound requests that share all their other parts; and a single request that crashes
 * endpoints and is sent again and again, although each of its shared parts is sound.
 *
 * <p>The evidence is one set of parts for each crash: those of the requests whose response had just
 * begun when the endpoint broke it off, without the parts that any response has proved sound. The
 * quarantine holds the smallest explanation that this evidence allows: the parts that occur in most
 * crashes. Parts that have only occurred together so far are quarantined together, so that a
 * request with some of them can still tell which one it is. VMs exchange the evidence and draw the
 * same conclusions from it.
 *
 * <p>Not thread-safe: confined to one owner thread.
 */
public final class PromptQuarantine {
  /**
   * Number of crashes after which parts are quarantined; a single response may break off for any
   * reason.
   */
  static final int CRASHES_LIMIT = 2;

  /** Duration of a quarantine after the last crash, in ms; the time of a rollback. */
  static final long QUARANTINE_MS = 600_000;

  /**
   * Time for which a part counts as sound after a response that went well, in ms. A part that a new
   * version of the engine cannot bear is found after this time.
   */
  static final long SOUND_MS = 600_000;

  /**
   * Time for which peers are told that a part is sound, in ms; twice the time in which 350 VMs hear
   * from each other.
   */
  static final long VOUCH_MS = 10_000;

  /** Maximum number of sound parts that are remembered; the most recently used ones stay. */
  static final int MAX_SOUND_PARTS = 4_096;

  /** Maximum number of crashes that are remembered. */
  static final int MAX_CRASHES = 256;

  /**
   * Maximum number of suspects of one crash, the most recent ones; an engine runs up to 128
   * requests. An endpoint whose connections are reset again and again counts as one crash.
   */
  static final int MAX_SUSPECTS = 256;

  /** Maximum number of parts that peers are told to be sound; about 1 KB in each digest. */
  static final int MAX_VOUCHED_PARTS = 64;

  private final Map<String, Long> soundUntilMs = new LruMap<>(MAX_SOUND_PARTS);
  private final Map<String, Long> vouchUntilMs = new LruMap<>(MAX_VOUCHED_PARTS);
  private final Map<String, Crash> crashes = new LruMap<>(MAX_CRASHES);

  /** End of the quarantine by the parts that a request must contain, in ms. */
  private Map<Set<String>, Long> quarantined = Map.of();

  private Listener listener =
      new Listener() {
        @Override
        public void onQuarantined(Set<String> parts) {}

        @Override
        public void onReleased(Set<String> parts) {}
      };

  /** Is notified of changes. */
  public interface Listener {
    /**
     * Requests that contain all of some parts are rejected from now on.
     *
     * @param parts the parts
     */
    void onQuarantined(Set<String> parts);

    /**
     * The parts are no longer quarantined in this combination.
     *
     * @param parts the parts
     */
    void onReleased(Set<String> parts);
  }

  /**
   * What is known of one crash, to be told to peers.
   *
   * @param parts the parts that may have caused it
   * @param remainingMs time for which it counts, in ms
   */
  public record Evidence(Set<String> parts, long remainingMs) {

    /** Copies the set. */
    public Evidence {
      parts = Set.copyOf(parts);
    }
  }

  private static final class Crash {
    private final Set<String> suspects = Collections.newSetFromMap(new LruMap<>(MAX_SUSPECTS));

    /** Parts that are sound, although a VM has suspected them. */
    private final Set<String> acquitted = Collections.newSetFromMap(new LruMap<>(MAX_SUSPECTS));

    private long untilMs;

    private boolean isValid(long now) {
      return now < untilMs;
    }

    /** Acquits a part, and returns whether it was a suspect. */
    private boolean acquit(String part) {
      return suspects.remove(part) && acquitted.add(part);
    }
  }

  /**
   * Sets the listener.
   *
   * @param listener is notified of changes
   */
  public void setListener(Listener listener) {
    this.listener = listener;
  }

  /**
   * Records that a response to a request with these parts went well.
   *
   * @param parts parts of the prompt
   * @param now current time, in ms
   */
  public void recordSound(Collection<String> parts, long now) {
    boolean suspected = false;
    for (String part : parts) {
      if (acquit(part)) {
        vouchIfNeeded(part, now);
        suspected = true;
      }
      soundUntilMs.put(part, now + SOUND_MS);
    }
    if (suspected) {
      explain(now);
    }
  }

  /**
   * Records that a response to a request with this part went well, which no other request or
   * session has. It is not remembered beyond the crashes that are known.
   *
   * @param part part of the prompt that belongs to the request or its session
   * @param now current time, in ms
   */
  public void recordOwnSound(String part, long now) {
    if (acquit(part)) {
      vouchIfNeeded(part, now);
      explain(now);
    }
  }

  /** Removes a part from all suspects, and returns whether it was part of the explanation. */
  private boolean acquit(String part) {
    int acquitted = 0;
    for (Crash c : crashes.values()) {
      acquitted += c.acquit(part) ? 1 : 0;
    }
    return acquitted >= CRASHES_LIMIT;
  }

  /** Returns whether a part is suspected in enough crashes to be part of the explanation. */
  private boolean isExplanatory(String part) {
    return crashes.values().stream().filter(c -> c.suspects.contains(part)).count()
        >= CRASHES_LIMIT;
  }

  private boolean isSound(String part, long now) {
    Long until = soundUntilMs.get(part);
    return until != null && now < until;
  }

  /** Vouches for a sound part that occurs in enough crashes for a peer to quarantine it. */
  private void vouchIfNeeded(String part, long now) {
    long suspectedIn =
        crashes.values().stream().filter(c -> c.isValid(now) && c.acquitted.contains(part)).count();
    if (suspectedIn >= CRASHES_LIMIT) {
      vouchUntilMs.put(part, now + VOUCH_MS);
    }
  }

  /**
   * Returns the parts that have not been proved sound here.
   *
   * @param parts parts of a prompt
   * @param now current time, in ms
   * @return those that may be suspected
   */
  public List<String> unproven(Collection<String> parts, long now) {
    return parts.stream().filter(p -> !isSound(p, now)).toList();
  }

  /**
   * Records that an endpoint broke off the response to a request with these parts right after its
   * beginning. Parts that are known to be sound are vouched for instead.
   *
   * @param crash identity of the endpoint and its start, so that each crash counts once
   * @param parts parts of the prompt
   * @param now current time, in ms
   */
  public void recordCrash(String crash, Collection<String> parts, long now) {
    if (addSuspects(crash, parts, now + QUARANTINE_MS, now)) {
      explain(now);
    }
  }

  /** Adds to the evidence, and returns whether the explanation may have changed. */
  private boolean addSuspects(String crash, Collection<String> parts, long untilMs, long now) {
    Crash c = crashes.computeIfAbsent(crash, k -> new Crash());
    c.untilMs = Math.max(c.untilMs, untilMs);
    boolean changed = false;
    for (String part : parts) {
      if (isSound(part, now)) {
        c.acquitted.add(part);
        vouchIfNeeded(part, now);
      } else {
        changed |= c.suspects.add(part) && isExplanatory(part);
      }
    }
    return changed;
  }

  /**
   * Adopts what a peer knows. What is known to be sound here is vouched for.
   *
   * @param evidence the evidence of crashes, by crash
   * @param vouched parts that are sound
   * @param now current time, in ms
   */
  public void updateFromPeer(Map<String, Evidence> evidence, Collection<String> vouched, long now) {
    boolean changed = false;
    for (String part : vouched) {
      changed |= acquit(part);
      soundUntilMs.put(part, now + SOUND_MS);
    }
    for (Map.Entry<String, Evidence> e : evidence.entrySet()) {
      long remainingMs = Math.min(e.getValue().remainingMs(), QUARANTINE_MS);
      changed |= addSuspects(e.getKey(), e.getValue().parts(), now + remainingMs, now);
    }
    if (changed) {
      explain(now);
    }
  }

  /**
   * Draws the conclusions from the evidence: repeatedly takes the parts that occur in most of the
   * crashes that are not explained yet.
   */
  private void explain(long now) {
    crashes.values().removeIf(c -> !c.isValid(now));
    Map<Set<String>, Long> before = quarantined;
    Map<Set<String>, Long> explanation = new HashMap<>();
    Set<Crash> unexplained = new HashSet<>(crashes.values());
    for (Set<Crash> most = addMostFrequent(unexplained, explanation);
        !most.isEmpty();
        most = addMostFrequent(unexplained, explanation)) {
      unexplained.removeAll(most);
    }
    quarantined = explanation;
    before.keySet().stream()
        .filter(parts -> !explanation.containsKey(parts))
        .forEach(listener::onReleased);
    List.copyOf(explanation.keySet()).stream()
        .filter(parts -> !before.containsKey(parts))
        .forEach(listener::onQuarantined);
  }

  /** Adds the parts that occur in most of the crashes, and returns these crashes. */
  private static Set<Crash> addMostFrequent(
      Set<Crash> unexplained, Map<Set<String>, Long> explanation) {
    Map<String, Set<Crash>> byPart = new TreeMap<>();
    for (Crash c : unexplained) {
      c.suspects.forEach(p -> byPart.computeIfAbsent(p, k -> new HashSet<>()).add(c));
    }
    int most = byPart.values().stream().mapToInt(Set::size).max().orElse(0);
    if (most < CRASHES_LIMIT) {
      return Set.of();
    }
    Map<Set<Crash>, Set<String>> together = new HashMap<>();
    byPart.forEach(
        (part, occurrences) -> {
          if (occurrences.size() == most) {
            together.computeIfAbsent(occurrences, k -> new HashSet<>()).add(part);
          }
        });
    Set<Crash> explained = new HashSet<>();
    together.forEach(
        (occurrences, parts) -> {
          explained.addAll(occurrences);
          long until = occurrences.stream().mapToLong(c -> c.untilMs).max().orElseThrow();
          explanation.put(Set.copyOf(parts), until);
        });
    return explained;
  }

  /**
   * Returns how long a request remains rejected.
   *
   * @param parts parts of its prompt
   * @param now current time, in ms
   * @return the remaining time in ms, or empty if it is not rejected
   */
  public OptionalLong remainingMs(Collection<String> parts, long now) {
    return quarantined.entrySet().stream()
        .filter(q -> now < q.getValue() && parts.containsAll(q.getKey()))
        .mapToLong(q -> q.getValue() - now)
        .max();
  }

  /**
   * Returns the first part of a prompt that may have crashed an endpoint.
   *
   * @param parts parts of the prompt
   * @param now current time, in ms
   * @return the part, or empty if there is none
   */
  public Optional<String> findSuspected(Collection<String> parts, long now) {
    return parts.stream()
        .filter(
            p -> crashes.values().stream().anyMatch(c -> c.isValid(now) && c.suspects.contains(p)))
        .findFirst();
  }

  /**
   * Returns the evidence for what is quarantined, to be told to peers.
   *
   * @param now current time, in ms
   * @return the evidence, by crash
   */
  public Map<String, Evidence> evidence(long now) {
    if (quarantined.isEmpty()) {
      return Map.of();
    }
    Set<String> parts = new HashSet<>();
    quarantined.keySet().forEach(parts::addAll);
    Map<String, Evidence> evidence = new HashMap<>();
    crashes.forEach(
        (crash, c) -> {
          if (c.isValid(now) && c.suspects.stream().anyMatch(parts::contains)) {
            Set<String> suspects =
                c.suspects.stream().filter(this::isExplanatory).collect(Collectors.toSet());
            evidence.put(crash, new Evidence(suspects, c.untilMs - now));
          }
        });
    return evidence;
  }

  /**
   * Returns the parts that a peer suspects although they are sound.
   *
   * @param now current time, in ms
   * @return the parts, for {@link #VOUCH_MS} after each was suspected
   */
  public Set<String> vouched(long now) {
    vouchUntilMs.values().removeIf(until -> now >= until);
    return Set.copyOf(vouchUntilMs.keySet());
  }
}
