package io.kumquatspindle.engine.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The failure domains that an operator has evacuated: no request and no load may be sent to their
 * endpoints. Handles records that are read again, and a snapshot that replaces records that were
 * missed. The last known state stays in force while the store cannot be read. Not thread-safe:
 * confined to one owner thread.
 */
public final class EvacuatedDomains {
  private final Set<String> domains = new TreeSet<>();

  /**
   * The beginning or the end of an evacuation.
   *
   * @param domain name of the failure domain
   * @param begun whether the evacuation has begun; otherwise it has ended
   */
  public record Change(String domain, boolean begun) {}

  /**
   * Applies one record.
   *
   * @param domain name of the failure domain
   * @param exists whether the key exists now
   * @return the change, if there is one
   */
  List<Change> update(String domain, boolean exists) {
    boolean changed = exists ? domains.add(domain) : domains.remove(domain);
    return changed ? List.of(new Change(domain, exists)) : List.of();
  }

  /**
   * Applies a complete list.
   *
   * @param existing the failure domains whose keys exist
   * @return the changes
   */
  List<Change> replace(Set<String> existing) {
    List<Change> changes = new ArrayList<>();
    for (String domain : List.copyOf(domains)) {
      if (!existing.contains(domain)) {
        changes.addAll(update(domain, false));
      }
    }
    existing.forEach(domain -> changes.addAll(update(domain, true)));
    return changes;
  }

  Set<String> domains() {
    return Set.copyOf(domains);
  }

  boolean contains(String domain) {
    return domains.contains(domain);
  }
}
