package io.kumquatspindle.node.follow;

import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.peer.NodeMessage;
import io.kumquatspindle.node.peer.PeerTransport;
import io.kumquatspindle.node.peer.Peers;
import io.kumquatspindle.node.port.RecordStore;

/**
 * The readers of the configuration and of the endpoints, which share their reads with the other VMs
 * of the failure domain.
 */
public final class TopicReaders {
  /**
   * Delay between reads of the configuration, in ms. Versions that follow each other quickly are
   * read together.
   */
  private static final long CONFIGURATION_READ_DELAY_MS = 150;

  /** Time for a slow response of the store and for passing it on, in ms. */
  private static final long READ_TIME_MS = 400;

  private final NodeContext node;
  private final TopicReader configuration;
  private final TopicReader endpoints;

  /**
   * Creates the readers; {@link #start} starts them.
   *
   * @param node shared context
   * @param store the store
   * @param state receives the records
   * @param peers the other VMs
   * @param transport connections to the other VMs
   */
  public TopicReaders(
      NodeContext node,
      RecordStore store,
      FleetStateUpdater state,
      Peers peers,
      PeerTransport transport) {
    this.node = node;
    configuration =
        new TopicReader(
            node,
            store,
            RecordStore.Topic.CONFIGURATION,
            node.settings().configurationLongPollMs(),
            CONFIGURATION_READ_DELAY_MS,
            state.configurationRecordListener());
    endpoints =
        new TopicReader(
            node,
            store,
            RecordStore.Topic.ENDPOINTS,
            0,
            node.settings().endpointsReadDelayMs(),
            state.endpointRecordListener());
    share(
        configuration,
        RecordStore.Topic.CONFIGURATION,
        node.settings().sharedLongPollMs(),
        CONFIGURATION_READ_DELAY_MS,
        peers,
        transport);
    share(
        endpoints,
        RecordStore.Topic.ENDPOINTS,
        0,
        node.settings().endpointsReadDelayMs(),
        peers,
        transport);
  }

  private void share(
      TopicReader reader,
      RecordStore.Topic topic,
      long waitMs,
      long delayMs,
      Peers peers,
      PeerTransport transport) {
    long silenceMs = waitMs + delayMs + READ_TIME_MS;
    reader.shareReads(
        new TopicRelay(node, topic, silenceMs, transport, peers::readSharers), waitMs);
  }

  /** Starts to read. */
  public void start() {
    configuration.read();
    endpoints.read();
  }

  /**
   * Returns the reader of the configuration.
   *
   * @return the reader
   */
  public TopicReader configuration() {
    return configuration;
  }

  /**
   * Handles what another VM has read.
   *
   * @param update the update
   */
  public void onUpdate(NodeMessage.TopicUpdate update) {
    (update.topic() == RecordStore.Topic.CONFIGURATION ? configuration : endpoints)
        .onUpdate(update);
  }
}
