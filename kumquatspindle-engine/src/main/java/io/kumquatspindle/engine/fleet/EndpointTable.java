package io.kumquatspindle.engine.fleet;

import io.kumquatspindle.api.fleet.EndpointEntry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The endpoints that this VM knows, by identity. One owner thread. */
public final class EndpointTable {
  /** Time after the store's return in which lapsed entries come back, as the platform states. */
  static final long RETURN_GRACE_MS = 2_000;

  private final Map<String, Endpoint> byId = new HashMap<>();
  private final HolderIndex holders = new HolderIndex();
  private final Map<String, Long> lapsed = new HashMap<>();
  private long storeBackMs = Long.MIN_VALUE / 2;

  /**
   * Takes an entry.
   *
   * @param entry the entry
   */
  public void put(EndpointEntry entry) {
    lapsed.remove(entry.id());
    Endpoint known = byId.get(entry.id());
    if (known == null || known.entry().startedAtMs() != entry.startedAtMs()) {
      byId.put(entry.id(), new Endpoint(entry, holders::changed));
      holders.clear();
    } else {
      changed(known.entry(), entry);
      known.entry(entry);
    }
  }

  private void changed(EndpointEntry before, EndpointEntry after) {
    if (before.leaving() != after.leaving() || !before.service().equals(after.service())) {
      holders.clear();
    } else if (!before.models().equals(after.models())) {
      before.models().forEach(m -> holders.changed(m.name()));
      after.models().forEach(m -> holders.changed(m.name()));
    }
  }

  private void drop(String id) {
    byId.remove(id);
    holders.clear();
  }

  /**
   * Takes the removal of an entry; just after an outage of the store it may be back soon.
   *
   * @param id identity of the endpoint
   * @param now present time, in ms
   */
  public void remove(String id, long now) {
    if (now - storeBackMs < RETURN_GRACE_MS && byId.containsKey(id)) {
      lapsed.put(id, storeBackMs + RETURN_GRACE_MS);
    } else {
      drop(id);
    }
  }

  /**
   * Removes all endpoints that a complete list does not name.
   *
   * @param ids identities in the list
   * @param now present time, in ms
   */
  public void retain(Set<String> ids, long now) {
    List.copyOf(byId.keySet()).stream()
        .filter(id -> !ids.contains(id))
        .forEach(i -> remove(i, now));
  }

  /**
   * Notes that the store answers again after an outage.
   *
   * @param now present time, in ms
   */
  public void storeBack(long now) {
    storeBackMs = now;
  }

  /**
   * Removes endpoints whose entries did not come back in time.
   *
   * @param now present time, in ms
   * @return their identities
   */
  public List<String> expire(long now) {
    List<String> gone = new ArrayList<>();
    lapsed.forEach(
        (id, until) -> {
          if (now >= until) {
            gone.add(id);
          }
        });
    gone.forEach(lapsed::remove);
    gone.forEach(this::drop);
    return gone;
  }

  /**
   * Returns an endpoint.
   *
   * @param id identity of the endpoint
   * @return the endpoint, if it is known
   */
  public Optional<Endpoint> find(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  public Collection<Endpoint> all() {
    return byId.values();
  }

  /**
   * Returns the endpoints of a service that take new work.
   *
   * @param service name of the service
   * @return endpoints, in no order
   */
  public List<Endpoint> of(String service) {
    return holders.of(
        service,
        () ->
            byId.values().stream()
                .filter(e -> e.entry().service().equals(service) && !e.entry().leaving())
                .toList());
  }

  /**
   * Returns the endpoints of a service that take new work and hold a model.
   *
   * @param service name of the service
   * @param model name of the model
   * @param now present time, in ms
   * @return endpoints, in no order
   */
  public List<Endpoint> holders(String service, String model, long now) {
    return holders.holders(service, model, of(service), now);
  }

  /**
   * Returns the endpoints of a service that take new work and hold a model and an adapter.
   *
   * @param service name of the service
   * @param model name of the model
   * @param adapter name of the adapter, or empty text
   * @param now present time, in ms
   * @return endpoints, in no order
   */
  public List<Endpoint> holders(String service, String model, String adapter, long now) {
    return holders(service, model, now).stream().filter(e -> e.holds(model, adapter, now)).toList();
  }

  /**
   * Tells whether an endpoint is known.
   *
   * @param id identity of the endpoint
   * @return whether it is
   */
  public boolean knows(String id) {
    return byId.containsKey(id);
  }
}
