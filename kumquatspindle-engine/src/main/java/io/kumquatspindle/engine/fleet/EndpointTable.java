package io.kumquatspindle.engine.fleet;

import io.kumquatspindle.api.fleet.EndpointEntry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

/** The known endpoints, by ID. Not thread-safe: confined to one owner thread. */
public final class EndpointTable {
  /**
   * Time after a recovery of the store within which expired entries reappear, as specified by the
   * platform.
   */
  public static final long STORE_RECOVERY_GRACE_MS = 2_000;

  /** Maximum number of removed endpoints that are remembered; a fleet has about 600. */
  private static final int MAX_REMOVED = 1_024;

  private final Map<String, Endpoint> byId = new HashMap<>();

  /** Endpoints whose entries have gone, since an entry may lapse and come back. */
  private final Map<String, Endpoint> removed = new LruMap<>(MAX_REMOVED);

  private final HolderIndex holders = new HolderIndex();
  private final EvacuatedDomains evacuated = new EvacuatedDomains();
  private final Map<String, Double> coldPerS = new HashMap<>();
  private final Map<String, Long> pendingRemovals = new HashMap<>();
  private long storeRecoveredMs = Long.MIN_VALUE / 2;

  /**
   * Adds or updates an endpoint. An endpoint that restarted under the same ID replaces the previous
   * one. One whose entry comes back is still bound by what it has said itself.
   *
   * @param entry the entry of the endpoint
   * @param now current time, in ms
   */
  public void put(EndpointEntry entry, long now) {
    pendingRemovals.remove(entry.id());
    Endpoint known = byId.get(entry.id());
    if (known == null || known.entry().startedAtMs() != entry.startedAtMs()) {
      byId.put(entry.id(), returnedOrNew(entry));
      holders.clear();
    } else {
      invalidateHolders(known.entry(), entry);
      known.updateEntry(entry, now);
    }
    Endpoint updated = byId.get(entry.id());
    updated.coldPeriod().setPerS(coldPerS.getOrDefault(entry.service(), 0.0));
    updated.coldPeriod().stated(entry.coldLeftMs(), now);
  }

  /**
   * Adopts an entry of a store that has come back from an older copy, unless it may be older than
   * what is known: an endpoint that has gone or is leaving stays so, and what a known one holds is
   * not replaced. Each endpoint writes its entry again, which {@link #put} then handles.
   *
   * @param entry the entry
   * @param now current time, in ms
   * @return whether the entry was adopted
   */
  public boolean putRestored(EndpointEntry entry, long now) {
    Endpoint known = byId.getOrDefault(entry.id(), removed.get(entry.id()));
    boolean adopted = known == null || isNews(entry, known.entry());
    if (adopted) {
      put(entry, now);
    }
    return adopted;
  }

  /** Returns whether an entry was certainly written later than another one of the same endpoint. */
  private static boolean isNews(EndpointEntry entry, EndpointEntry known) {
    boolean sameStart = entry.startedAtMs() == known.startedAtMs();
    return sameStart
        ? entry.leaving() && !known.leaving()
        : entry.startedAtMs() > known.startedAtMs();
  }

  /**
   * Sets how many requests the endpoints of each service handle while they are cold.
   *
   * @param perS requests per second from all VMs together, by service; 0 or absent: no bound
   */
  public void setColdRates(Map<String, Double> perS) {
    coldPerS.clear();
    coldPerS.putAll(perS);
    byId.values()
        .forEach(e -> e.coldPeriod().setPerS(coldPerS.getOrDefault(e.entry().service(), 0.0)));
  }

  /**
   * Records that another VM knows an endpoint to be cold.
   *
   * @param endpoint the endpoint
   * @param now current time, in ms
   */
  public void coldAtPeer(Endpoint endpoint, long now) {
    endpoint.coldPeriod().statedByPeer(now);
  }

  /**
   * Ends the cold periods whose time is over.
   *
   * @param now current time, in ms
   * @return the endpoints that were cold until now
   */
  public List<Endpoint> endColdPeriods(long now) {
    return byId.values().stream().filter(e -> e.coldPeriod().end(now)).toList();
  }

  private void invalidateHolders(EndpointEntry before, EndpointEntry after) {
    if (before.leaving() != after.leaving()
        || !before.service().equals(after.service())
        || !before.domain().equals(after.domain())) {
      holders.clear();
    } else if (!before.models().equals(after.models())) {
      before.models().forEach(m -> holders.invalidate(m.name()));
      after.models().forEach(m -> holders.invalidate(m.name()));
    }
  }

  private Endpoint returnedOrNew(EndpointEntry entry) {
    Endpoint before = removed.remove(entry.id());
    Endpoint added = new Endpoint(entry, holders::invalidate);
    if (before != null && before.entry().startedAtMs() == entry.startedAtMs()) {
      added.keepAnnouncements(before);
    }
    return added;
  }

  private void removeNow(String id) {
    Endpoint gone = byId.remove(id);
    if (gone != null) {
      removed.put(id, gone);
    }
    holders.clear();
  }

  /**
   * Removes an endpoint. Shortly after an outage of the store the removal is deferred, since the
   * entry may reappear.
   *
   * @param id ID of the endpoint
   * @param now current time, in ms
   */
  public void remove(String id, long now) {
    if (now - storeRecoveredMs < STORE_RECOVERY_GRACE_MS && byId.containsKey(id)) {
      pendingRemovals.put(id, storeRecoveredMs + STORE_RECOVERY_GRACE_MS);
    } else {
      removeNow(id);
    }
  }

  /**
   * Removes all endpoints that are missing from a complete list.
   *
   * @param ids the IDs in the list
   * @param now current time, in ms
   */
  public void retain(Set<String> ids, long now) {
    List.copyOf(byId.keySet()).stream()
        .filter(id -> !ids.contains(id))
        .forEach(i -> remove(i, now));
  }

  /**
   * Records that the store is available again after an outage.
   *
   * @param atMs start of the time in which entries reappear, in ms; an earlier one than known is
   *     ignored
   */
  public void storeRecovered(long atMs) {
    storeRecoveredMs = Math.max(storeRecoveredMs, atMs);
  }

  /**
   * Removes endpoints whose entries did not reappear in time.
   *
   * @param now current time, in ms
   * @return their IDs
   */
  public List<String> expire(long now) {
    List<String> expired = new ArrayList<>();
    pendingRemovals.forEach(
        (id, until) -> {
          if (now >= until) {
            expired.add(id);
          }
        });
    expired.forEach(pendingRemovals::remove);
    expired.forEach(this::removeNow);
    return expired;
  }

  /**
   * Returns an endpoint by its ID.
   *
   * @param id ID of the endpoint
   * @return the endpoint, or empty if it is unknown
   */
  public Optional<Endpoint> find(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  public Collection<Endpoint> all() {
    return byId.values();
  }

  /**
   * Records that an endpoint said in a response that it is leaving. Its entry may say so later.
   *
   * @param endpoint the endpoint
   * @return whether this was not known before
   */
  public boolean announceLeaving(Endpoint endpoint) {
    Endpoint current = current(endpoint);
    boolean news = !current.leaving();
    endpoint.announceLeaving();
    current.announceLeaving();
    if (news) {
      holders.clear();
    }
    return news;
  }

  /**
   * Records that an endpoint rejected a request of this VM and asked for a pause.
   *
   * @param endpoint the endpoint
   * @param untilMs end of the pause, in ms
   */
  public void refuseUntil(Endpoint endpoint, long untilMs) {
    endpoint.refuseUntil(untilMs);
    current(endpoint).refuseUntil(untilMs);
  }

  /**
   * Records what an endpoint has said about its limit.
   *
   * @param endpoint the endpoint
   * @param statedPerS requests a second from all VMs together, or empty if there is no limit
   * @param heardMs when a VM received the statement, in ms
   * @return whether the limit has changed
   */
  public boolean recordLimit(Endpoint endpoint, OptionalDouble statedPerS, long heardMs) {
    Endpoint current = current(endpoint);
    boolean changed = current.recordLimit(statedPerS, heardMs);
    if (current != endpoint) {
      endpoint.recordLimit(statedPerS, heardMs);
    }
    return changed;
  }

  /**
   * Records whether a failure domain is evacuated.
   *
   * @param domain name of the failure domain
   * @param exists whether it is evacuated now
   * @return the change, if there is one
   */
  public List<EvacuatedDomains.Change> updateEvacuation(String domain, boolean exists) {
    return applied(evacuated.update(domain, exists));
  }

  /**
   * Returns the failure domains that are evacuated.
   *
   * @return their names
   */
  public Set<String> evacuations() {
    return evacuated.domains();
  }

  /**
   * Records all failure domains that are evacuated.
   *
   * @param domains names of the failure domains
   * @return the changes
   */
  public List<EvacuatedDomains.Change> replaceEvacuations(Set<String> domains) {
    return applied(evacuated.replace(domains));
  }

  private List<EvacuatedDomains.Change> applied(List<EvacuatedDomains.Change> changes) {
    if (!changes.isEmpty()) {
      holders.clear();
    }
    return changes;
  }

  /**
   * Returns whether requests and loads may be sent to an endpoint.
   *
   * @param endpoint the endpoint
   * @return whether it neither leaves nor belongs to a failure domain that is evacuated
   */
  public boolean acceptsWork(Endpoint endpoint) {
    return !endpoint.leaving() && !evacuated.contains(endpoint.entry().domain());
  }

  /**
   * Returns whether a request may be sent to no endpoint of its service although there are some, as
   * failure domains are evacuated or not allowed. Waiting for a load cannot help then.
   *
   * @param service name of the service
   * @param home where the request may be sent to
   * @return whether all endpoints that do not leave are in such failure domains
   */
  public boolean noneAllowed(String service, Home home) {
    return available(service).stream().noneMatch(home::allows)
        && byId.values().stream()
            .anyMatch(e -> e.entry().service().equals(service) && !e.leaving());
  }

  /**
   * Returns an endpoint by the identity of its start.
   *
   * @param instance value of {@link Endpoint#instance}
   * @return the endpoint, or empty if this start of it is unknown
   */
  public Optional<Endpoint> findInstance(String instance) {
    int separator = Math.max(0, instance.lastIndexOf('/'));
    return find(instance.substring(0, separator)).filter(e -> e.instance().equals(instance));
  }

  /** Returns the view that is in use now, as the entry may have gone and come back meanwhile. */
  private Endpoint current(Endpoint endpoint) {
    Endpoint current = byId.get(endpoint.id());
    boolean same =
        current != null && current.entry().startedAtMs() == endpoint.entry().startedAtMs();
    return same ? current : endpoint;
  }

  /**
   * Returns the endpoints of a service that accept new work.
   *
   * @param service name of the service
   * @return the endpoints, in no particular order
   */
  public List<Endpoint> available(String service) {
    return holders.available(
        service,
        () ->
            byId.values().stream()
                .filter(e -> e.entry().service().equals(service) && acceptsWork(e))
                .toList());
  }

  /**
   * Returns the endpoints of a service that accept new work and hold a model.
   *
   * @param service name of the service
   * @param model name of the model
   * @param now current time, in ms
   * @return the endpoints, in no particular order
   */
  public List<Endpoint> holders(String service, String model, long now) {
    return holders.holders(service, model, available(service), now);
  }

  /**
   * Returns the endpoints of a service that accept new work and hold a model and an adapter.
   *
   * @param service name of the service
   * @param model name of the model
   * @param adapter name of the adapter, or an empty string
   * @param now current time, in ms
   * @return the endpoints, in no particular order
   */
  public List<Endpoint> holders(String service, String model, String adapter, long now) {
    return holders(service, model, now).stream().filter(e -> e.holds(model, adapter, now)).toList();
  }

  /**
   * Returns whether an endpoint is known.
   *
   * @param id ID of the endpoint
   * @return whether the table contains it
   */
  public boolean contains(String id) {
    return byId.containsKey(id);
  }
}
