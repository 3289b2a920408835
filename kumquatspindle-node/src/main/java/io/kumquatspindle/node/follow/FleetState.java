package io.kumquatspindle.node.follow;

import io.kumquatspindle.api.fleet.EndpointEntry;
import io.kumquatspindle.api.fleet.FleetConfiguration;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.port.MalformedRecordException;
import io.kumquatspindle.node.port.RecordDecoder;
import io.kumquatspindle.node.port.RecordStore;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** Keeps the configuration and the endpoints as the store tells them. */
public final class FleetState {
  private final NodeContext node;
  private final RecordDecoder decoder;
  private final Consumer<FleetConfiguration> configured;
  private long newestElsewhere;

  /**
   * Creates the keeper.
   *
   * @param node shared context
   * @param decoder reads records
   * @param configured told each configuration that comes into force
   */
  public FleetState(
      NodeContext node, RecordDecoder decoder, Consumer<FleetConfiguration> configured) {
    this.node = node;
    this.decoder = decoder;
    this.configured = configured;
  }

  /**
   * Returns what listens to the topic of configurations.
   *
   * @return the listener
   */
  public Follower.Listener configurations() {
    return new Follower.Listener() {
      @Override
      public void all(List<RecordStore.KeyedRecord> records) {
        records.forEach(this::one);
      }

      @Override
      public void one(RecordStore.KeyedRecord record) {
        if (decoder.isConfiguration(record.key()) && record.value().isPresent()) {
          configuration(record.value().get());
        }
      }

      @Override
      public void confirmed() {
        node.confirmConfiguration();
      }

      @Override
      public void regained(long afterMs) {}
    };
  }

  /**
   * Notes that another VM has a newer configuration; one line for each version.
   *
   * @param version version that the other VM has in force
   * @param peer address of the other VM
   * @param readOutMs how long the read of this VM has been out, in ms; -1 if none is
   */
  public void newerElsewhere(long version, String peer, long readOutMs) {
    if (version <= newestElsewhere) {
      return;
    }
    newestElsewhere = version;
    node.log()
        .line("configuration_elsewhere")
        .field("version", version)
        .field("version_here", node.configuration().map(FleetConfiguration::version).orElse(0L))
        .field("peer", peer)
        .field("read_out_ms", readOutMs)
        .write();
  }

  private void configuration(byte[] value) {
    long before = node.configuration().map(FleetConfiguration::version).orElse(0L);
    try {
      FleetConfiguration c = decoder.decodeConfiguration(value);
      if (c.version() <= before) {
        return;
      }
      node.setConfiguration(c);
      node.log()
          .line("configuration")
          .field("version", c.version())
          .field("version_before", before)
          .write();
      configured.accept(c);
    } catch (MalformedRecordException e) {
      node.log()
          .line("configuration_unreadable")
          .field("reason", e.getMessage())
          .field("version_kept", before)
          .write();
    }
  }

  /**
   * Returns what listens to the topic of endpoints.
   *
   * @return the listener
   */
  public Follower.Listener endpoints() {
    return new Follower.Listener() {
      @Override
      public void all(List<RecordStore.KeyedRecord> records) {
        Set<String> ids = new HashSet<>();
        records.stream().filter(r -> r.value().isPresent()).forEach(r -> ids.add(r.key()));
        records.forEach(this::one);
        node.endpoints().retain(ids, node.now());
        node.markEndpointsRead();
      }

      @Override
      public void one(RecordStore.KeyedRecord record) {
        endpoint(record.key(), record.value());
      }

      @Override
      public void confirmed() {}

      @Override
      public void regained(long afterMs) {
        node.endpoints().storeBack(node.now());
      }
    };
  }

  private void endpoint(String id, Optional<byte[]> value) {
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
      node.endpoints().put(e);
    } catch (MalformedRecordException e) {
      node.log()
          .line("endpoint_unreadable")
          .field("endpoint", id)
          .field("reason", e.getMessage())
          .write();
    }
  }
}
