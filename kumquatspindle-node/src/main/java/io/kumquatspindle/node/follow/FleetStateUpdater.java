package io.kumquatspindle.node.follow;

import io.kumquatspindle.api.fleet.EndpointEntry;
import io.kumquatspindle.api.fleet.FleetConfiguration;
import io.kumquatspindle.api.fleet.ServiceInfo;
import io.kumquatspindle.api.metrics.MetricsText;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.engine.fleet.EndpointTable;
import io.kumquatspindle.engine.fleet.EvacuatedDomains;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.port.MalformedRecordException;
import io.kumquatspindle.node.port.RecordDecoder;
import io.kumquatspindle.node.port.RecordStore;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/** Updates the configuration and the endpoints of this VM from records of the store. */
public final class FleetStateUpdater {
  private final NodeContext node;
  private final RecordDecoder decoder;
  private final Consumer<FleetConfiguration> configurationListener;
  private final Set<String> awaitedEvacuations = new HashSet<>();
  private long awaitedUntilMs;
  private long newestPeerVersion;

  /**
   * Creates the updater.
   *
   * @param node shared context
   * @param decoder decodes records
   * @param configurationListener receives each configuration that comes into force
   */
  public FleetStateUpdater(
      NodeContext node, RecordDecoder decoder, Consumer<FleetConfiguration> configurationListener) {
    this.node = node;
    this.decoder = decoder;
    this.configurationListener = configurationListener;
  }

  /**
   * Returns the listener for the topic of configurations.
   *
   * @return the listener
   */
  public TopicListener configurationRecordListener() {
    return new TopicListener() {
      @Override
      public void onSnapshot(List<RecordStore.KeyedRecord> records) {
        apply(node.endpoints().replaceEvacuations(evacuatedDomains(records)));
        records.forEach(this::onRecord);
      }

      @Override
      public void onRestoredSnapshot(List<RecordStore.KeyedRecord> records) {
        awaitEvacuations(evacuatedDomains(records));
        records.forEach(this::onRecord);
      }

      @Override
      public void onRecord(RecordStore.KeyedRecord record) {
        Optional<String> domain = decoder.evacuatedDomain(record.key());
        if (domain.isPresent()) {
          awaitedEvacuations.remove(domain.get());
          apply(node.endpoints().updateEvacuation(domain.get(), exists(record)));
        } else if (decoder.isConfiguration(record.key()) && record.value().isPresent()) {
          applyConfiguration(record.value().get());
        }
      }

      @Override
      public void onConfirmed() {
        node.confirmConfiguration();
      }

      @Override
      public void onRecovered(long outageMs) {}
    };
  }

  /** Returns whether a key exists: a deleted one has no value, or an empty one in a snapshot. */
  private static boolean exists(RecordStore.KeyedRecord record) {
    return record.value().filter(v -> v.length > 0).isPresent();
  }

  /** Returns the failure domains that are evacuated according to a complete list of records. */
  private Set<String> evacuatedDomains(List<RecordStore.KeyedRecord> records) {
    return records.stream()
        .filter(FleetStateUpdater::exists)
        .flatMap(r -> decoder.evacuatedDomain(r.key()).stream())
        .collect(Collectors.toSet());
  }

  /**
   * Keeps the evacuations that a store which has come back from an older copy does not list. Those
   * that the operator has not written again after the grace period are over.
   */
  private void awaitEvacuations(Set<String> listed) {
    awaitedEvacuations.clear();
    awaitedEvacuations.addAll(node.endpoints().evacuations());
    awaitedEvacuations.removeAll(listed);
    long graceMs = restoredGraceMs();
    awaitedUntilMs = node.now() + graceMs;
    if (!awaitedEvacuations.isEmpty()) {
      node.schedule(graceMs, this::endAwaitedEvacuations);
    }
  }

  private void endAwaitedEvacuations() {
    // The store may have come back from a copy again meanwhile.
    if (node.now() < awaitedUntilMs) {
      return;
    }
    awaitedEvacuations.forEach(d -> apply(node.endpoints().updateEvacuation(d, false)));
    awaitedEvacuations.clear();
  }

  /** Returns the time until a record that is written again has been read, in ms. */
  private long restoredGraceMs() {
    return EndpointTable.STORE_RECOVERY_GRACE_MS + node.settings().endpointsReadDelayMs();
  }

  private void apply(List<EvacuatedDomains.Change> changes) {
    for (EvacuatedDomains.Change c : changes) {
      String change = c.begun() ? "begun" : "ended";
      node.log().line("evacuation_" + change).field("domain", c.domain()).write();
      node.metrics().counter(MetricsText.name("evacuations_total", "change", change)).inc();
    }
  }

  /**
   * Logs that another VM has a newer configuration, once for each version.
   *
   * @param version version that the other VM has in force
   * @param peer peer address of the other VM
   * @param pendingReadMs time since this VM sent its pending read, in ms; -1 if none is pending
   */
  public void onNewerPeerVersion(long version, String peer, long pendingReadMs) {
    if (version <= newestPeerVersion) {
      return;
    }
    newestPeerVersion = version;
    node.log()
        .line("configuration_elsewhere")
        .field("version", version)
        .field("version_here", node.configuration().map(FleetConfiguration::version).orElse(0L))
        .field("peer", peer)
        .field("read_out_ms", pendingReadMs)
        .write();
  }

  private void applyConfiguration(byte[] value) {
    long before = node.configuration().map(FleetConfiguration::version).orElse(0L);
    try {
      FleetConfiguration c = decoder.decodeConfiguration(value);
      if (c.version() <= before) {
        return;
      }
      node.setConfiguration(c);
      node.endpoints()
          .setColdRates(
              c.services().stream()
                  .collect(Collectors.toMap(ServiceInfo::name, ServiceInfo::coldPerS)));
      node.log()
          .line("configuration")
          .field("version", c.version())
          .field("version_before", before)
          .write();
      configurationListener.accept(c);
    } catch (MalformedRecordException | RuntimeException e) {
      // An unexpected exception must not keep the reader from the records that follow.
      node.log()
          .line("configuration_unreadable")
          .field("reason", e.getMessage())
          .field("version_kept", before)
          .write();
    }
  }

  /**
   * Returns the listener for the topic of endpoints.
   *
   * @return the listener
   */
  public TopicListener endpointRecordListener() {
    return new TopicListener() {
      @Override
      public void onSnapshot(List<RecordStore.KeyedRecord> records) {
        Set<String> ids = new HashSet<>();
        records.stream().filter(r -> r.value().isPresent()).forEach(r -> ids.add(r.key()));
        records.forEach(this::onRecord);
        node.endpoints().retain(ids, node.now());
        node.markEndpointsRead();
      }

      @Override
      public void onRestoredSnapshot(List<RecordStore.KeyedRecord> records) {
        // A missing endpoint has time to write its entry, and this VM to read that, before it is
        // taken as gone.
        node.endpoints().storeRecovered(node.now() + node.settings().endpointsReadDelayMs());
        int known = node.endpoints().all().size();
        Set<String> ids = new HashSet<>();
        int adopted = 0;
        for (RecordStore.KeyedRecord r : records) {
          if (r.value().isPresent()) {
            ids.add(r.key());
            adopted += applyRestored(r.key(), r.value().get()) ? 1 : 0;
          }
        }
        node.endpoints().retain(ids, node.now());
        node.log()
            .line("endpoints_restored")
            .field("known", known)
            .field("listed", ids.size())
            .field("adopted", adopted)
            .write();
      }

      @Override
      public void onRecord(RecordStore.KeyedRecord record) {
        applyEndpoint(record.key(), record.value());
      }

      @Override
      public void onConfirmed() {}

      @Override
      public void onRecovered(long outageMs) {
        node.endpoints().storeRecovered(node.now());
      }
    };
  }

  private void logCold(Endpoint endpoint) {
    node.log()
        .line("endpoint_cold")
        .field("endpoint", endpoint.id())
        .field("left_ms", endpoint.entry().coldLeftMs())
        .field("per_s", String.valueOf(endpoint.limitPerS().orElse(0)))
        .write();
    node.metrics().counter("cold_periods_total").inc();
  }

  private boolean applyRestored(String id, byte[] value) {
    try {
      return node.endpoints().putRestored(decoder.decodeEndpoint(id, value), node.now());
    } catch (MalformedRecordException | RuntimeException e) {
      logUnreadable(id, e);
      return false;
    }
  }

  private void logUnreadable(String id, Exception e) {
    node.log()
        .line("endpoint_unreadable")
        .field("endpoint", id)
        .field("reason", e.getMessage())
        .write();
  }

  private void applyEndpoint(String id, Optional<byte[]> value) {
    if (value.isEmpty()) {
      node.log().line("endpoint_gone").field("endpoint", id).write();
      node.endpoints().remove(id, node.now());
      return;
    }
    try {
      EndpointEntry e = decoder.decodeEndpoint(id, value.get());
      Optional<EndpointEntry> before = node.endpoints().find(id).map(x -> x.entry());
      if (before.isEmpty() || before.get().leaving() != e.leaving()) {
        node.log()
            .line("endpoint")
            .field("endpoint", id)
            .field("service", e.service())
            .field("address", e.address())
            .field("domain", e.domain())
            .field("leaving", String.valueOf(e.leaving()))
            .field("models", e.models().size())
            .write();
      }
      boolean coldBefore = node.endpoints().find(id).filter(Endpoint::cold).isPresent();
      node.endpoints().put(e, node.now());
      if (!coldBefore) {
        node.endpoints().find(id).filter(Endpoint::cold).ifPresent(this::logCold);
      }
    } catch (MalformedRecordException | RuntimeException e) {
      logUnreadable(id, e);
    }
  }
}
