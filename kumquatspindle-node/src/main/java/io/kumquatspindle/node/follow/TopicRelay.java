package io.kumquatspindle.node.follow;

import io.kumquatspindle.engine.fleet.ReadSharing;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.peer.NodeMessage;
import io.kumquatspindle.node.peer.PeerTransport;
import io.kumquatspindle.node.port.RecordStore;
import java.util.Collection;
import java.util.List;
import java.util.function.Supplier;

/**
 * Passes what this VM reads of one topic on to other VMs of its failure domain, and tells whether
 * another VM does so for this one.
 */
public final class TopicRelay {
  /** Largest update that is sent with its records, in bytes; receivers read larger ones. */
  private static final int MAX_RELAYED_BYTES = 256 * 1024;

  private final NodeContext node;
  private final RecordStore.Topic topic;
  private final boolean relaysRecords;
  private final PeerTransport transport;
  private final Supplier<Collection<String>> peers;
  private final ReadSharing sharing;

  /**
   * Creates a relay.
   *
   * @param node shared context
   * @param topic the topic
   * @param silenceMs time without an update after which a reader is considered gone, in ms
   * @param transport connections to the other VMs
   * @param peers returns the addresses of the VMs that can take part
   */
  public TopicRelay(
      NodeContext node,
      RecordStore.Topic topic,
      long silenceMs,
      PeerTransport transport,
      Supplier<Collection<String>> peers) {
    this.node = node;
    this.topic = topic;
    // A configuration may be hundreds of KB: on a slow link, seven copies of it would take longer
    // than it may take to come into force. Receivers are told of it and read it.
    this.relaysRecords = !topic.newestReplacesOthers();
    this.transport = transport;
    this.peers = peers;
    this.sharing = new ReadSharing(topic.name(), transport.self(), silenceMs);
  }

  /** Returns for how long this VM leaves the reading to another one, in ms; 0 if it reads. */
  long followsForMs() {
    return sharing.followsForMs(node.now());
  }

  /** Returns whether other VMs may rely on the reads of this one. */
  boolean hasFollowers() {
    return sharing.hasFollowers(peers.get());
  }

  /** Records an update from another VM. */
  void heard(NodeMessage.TopicUpdate update) {
    sharing.heard(update.reader(), peers.get(), node.now());
  }

  /**
   * Passes on the result of a read.
   *
   * @param from offset of the first record
   * @param result the records
   * @param outageMs how long the store had not responded before, in ms; 0 if it had
   */
  void publish(long from, RecordStore.ReadResult.Records result, long outageMs) {
    List<String> receivers = sharing.receivers(peers.get());
    if (receivers.isEmpty()) {
      return;
    }
    boolean complete =
        relaysRecords
            && result.records().size() == result.next() - from
            && size(result.records()) <= MAX_RELAYED_BYTES;
    List<RecordStore.KeyedRecord> records = complete ? result.records() : List.of();
    transport.send(
        receivers,
        new NodeMessage.TopicUpdate(
            transport.self(),
            topic,
            node.storeEra().current(),
            complete ? from : result.next(),
            result.next(),
            Math.max(result.end(), result.next()),
            outageMs,
            records));
  }

  private static int size(List<RecordStore.KeyedRecord> records) {
    return records.stream()
        .mapToInt(r -> r.key().length() + r.value().map(v -> v.length).orElse(0))
        .sum();
  }
}
