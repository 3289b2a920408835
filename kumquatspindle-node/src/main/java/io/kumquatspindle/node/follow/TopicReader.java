package io.kumquatspindle.node.follow;

import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.peer.NodeMessage;
import io.kumquatspindle.node.port.RecordStore;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Reads one topic of the store: first a snapshot of the newest record of each key, then records as
 * they are written. Starts again with a snapshot if records were deleted before they were read, and
 * in each new era of the store, in which the offsets known so far belong to other records. In a
 * topic in which each record replaces the one before it, records that were missed are skipped.
 *
 * <p>With a relay, a VM that hears the updates of another one sends no reads of its own.
 */
public final class TopicReader {
  /** Delay after the first failed read, in ms; doubled after each further failure in a row. */
  private static final long MIN_RETRY_DELAY_MS = 300;

  /**
   * Maximum delay after a failed read, in ms; leaves half of the time in which a configuration must
   * come into force.
   */
  private static final long MAX_RETRY_DELAY_MS = 900;

  /**
   * Time over which the VMs spread their snapshots in a new era, in ms; a quarter of the time in
   * which a configuration must come into force, so that a failed read can be repeated.
   */
  private static final long NEW_ERA_SPREAD_MS = 500;

  private final NodeContext node;
  private final RecordStore store;
  private final RecordStore.Topic topic;
  private final TopicListener listener;
  private final long waitMs;
  private final long readDelayMs;
  private Optional<TopicRelay> relay = Optional.empty();
  private long sharedWaitMs;
  private OptionalLong nextOffset = OptionalLong.empty();
  private long pendingFrom;
  private long scheduledReadId;
  private long failedSinceMs;
  private long retryDelayMs = MIN_RETRY_DELAY_MS;
  private boolean failing;
  private boolean readPending;
  private long readSentMs;
  private long currentReadId;
  private long currentImmediateReadId;
  private long nextImmediateReadMs = Long.MIN_VALUE / 2;
  private boolean immediateReadPending;
  private boolean snapshotDelivered;
  private boolean restored;

  /**
   * Creates a reader; {@link #read} starts it.
   *
   * @param node shared context
   * @param store the store
   * @param topic the topic to read
   * @param waitMs maximum time that the store holds a read until a record is written, in ms
   * @param readDelayMs delay between a response and the next read, in ms
   * @param listener receives the records
   */
  public TopicReader(
      NodeContext node,
      RecordStore store,
      RecordStore.Topic topic,
      long waitMs,
      long readDelayMs,
      TopicListener listener) {
    this.node = node;
    this.store = store;
    this.topic = topic;
    this.waitMs = waitMs;
    this.readDelayMs = readDelayMs;
    this.listener = listener;
    node.storeEra().addListener((era, before) -> onEraChanged());
  }

  /** Ignores the responses to the reads of the previous era, and reads a snapshot. */
  private void onEraChanged() {
    currentReadId++;
    currentImmediateReadId++;
    readPending = false;
    immediateReadPending = false;
    nextOffset = OptionalLong.empty();
    restored = snapshotDelivered;
    scheduleRead(ThreadLocalRandom.current().nextLong(NEW_ERA_SPREAD_MS));
  }

  /**
   * Shares the reads of this topic with other VMs.
   *
   * @param topicRelay exchanges updates with the other VMs
   * @param waitMs maximum time that the store holds a read on which other VMs rely, in ms
   */
  public void shareReads(TopicRelay topicRelay, long waitMs) {
    relay = Optional.of(topicRelay);
    sharedWaitMs = waitMs;
  }

  /** Sends a read unless one is pending; each response schedules the next read. */
  public void read() {
    if (readPending) {
      return;
    }
    long followMs = followsForMs();
    if (followMs > 0) {
      scheduleRead(followMs);
      return;
    }
    readPending = true;
    readSentMs = node.now();
    long id = ++currentReadId;
    if (nextOffset.isEmpty() || (failing && topic.newestReplacesOthers())) {
      store.readLatest(topic, a -> onResponse(id, a, true));
    } else {
      pendingFrom = nextOffset.getAsLong();
      long longPollMs = relay.filter(TopicRelay::hasFollowers).isPresent() ? sharedWaitMs : waitMs;
      store.read(topic, pendingFrom, longPollMs, a -> onResponse(id, a, false));
    }
  }

  /** Returns for how long another VM reads for this one; 0 while it has to read by itself. */
  private long followsForMs() {
    boolean ownReadNeeded = nextOffset.isEmpty() || failing;
    return ownReadNeeded ? 0 : relay.map(TopicRelay::followsForMs).orElse(0L);
  }

  /** Schedules the next read, which replaces the one that is scheduled. */
  private void scheduleRead(long delayMs) {
    long id = ++scheduledReadId;
    node.schedule(
        delayMs,
        () -> {
          if (id == scheduledReadId) {
            read();
          }
        });
  }

  /**
   * Handles what another VM has read of the topic. A VM whose own reads fail uses it as well: the
   * store may turn away some VMs and serve the others. An update of a new era makes this VM read a
   * snapshot, and one of an earlier era is ignored.
   *
   * @param update the update
   */
  public void onUpdate(NodeMessage.TopicUpdate update) {
    if (relay.isEmpty() || !node.storeEra().observe(update.era())) {
      return;
    }
    if (nextOffset.isPresent()) {
      runTimed(() -> adopt(update));
    } else if (snapshotDelivered) {
      // Records of the new era are valid without the snapshot, which this VM may be unable to read.
      runTimed(() -> deliver(() -> update.records().forEach(listener::onRecord)));
    }
  }

  private void adopt(NodeMessage.TopicUpdate update) {
    if (update.outageMs() > 0) {
      listener.onRecovered(update.outageMs());
    }
    RecordStore.ReadResult.Records records =
        new RecordStore.ReadResult.Records(update.records(), update.next(), update.end());
    // An update that leaves records unread is no reason to put off the next read of this VM.
    if (deliverFrom(update.from(), records)) {
      relay.ifPresent(r -> r.heard(update));
    } else {
      readImmediately();
    }
  }

  /**
   * Delivers the records that have not been read yet.
   *
   * @param from offset of the first record
   * @param r the records
   * @return whether all records up to the end of the topic have been read now
   */
  private boolean deliverFrom(long from, RecordStore.ReadResult.Records r) {
    long next = nextOffset.orElse(from);
    if (r.next() > next) {
      // Malformed records are left out, so that offsets may not follow from positions.
      boolean contiguous = from == next || r.records().size() == r.next() - from;
      if (from > next || !contiguous) {
        return false;
      }
      int known = (int) (next - from);
      nextOffset = OptionalLong.of(r.next());
      deliver(() -> r.records().subList(known, r.records().size()).forEach(listener::onRecord));
    } else if (r.end() <= next) {
      deliver(() -> {});
    }
    return r.end() <= nextOffset.orElse(0);
  }

  /**
   * Reads at once, although a read may be pending, because another VM has records that this VM has
   * not: the store may have failed to complete the pending read, or its connection may be stalled.
   * Only one such read is sent at a time, because on a slow link several would delay each other.
   */
  public void readImmediately() {
    if (nextOffset.isEmpty()) {
      read();
      return;
    }
    if (immediateReadPending || node.now() < nextImmediateReadMs) {
      return;
    }
    immediateReadPending = true;
    long id = ++currentImmediateReadId;
    if (topic.newestReplacesOthers()) {
      store.readLatest(topic, a -> runTimed(() -> onImmediateResponse(id, 0, a, true)));
    } else {
      long from = nextOffset.getAsLong();
      store.read(topic, from, 0, a -> runTimed(() -> onImmediateResponse(id, from, a, false)));
    }
  }

  private void onImmediateResponse(
      long id, long from, RecordStore.ReadResult result, boolean snapshot) {
    if (id != currentImmediateReadId) {
      return;
    }
    immediateReadPending = false;
    boolean failed = result instanceof RecordStore.ReadResult.Failed;
    nextImmediateReadMs = node.now() + (failed ? MAX_RETRY_DELAY_MS : MIN_RETRY_DELAY_MS);
    if (result instanceof RecordStore.ReadResult.Records r && r.next() > nextOffset.orElse(0)) {
      // The pending read asks for records that have now been read; its response is ignored.
      currentReadId++;
      handleResult(from, result, snapshot);
    } else if (result instanceof RecordStore.ReadResult.Deleted) {
      currentReadId++;
      handleResult(from, result, snapshot);
    } else if (result instanceof RecordStore.ReadResult.Failed f) {
      node.log()
          .line("read_failed")
          .field("topic", topic.name())
          .field("reason", f.reason())
          .write();
    }
  }

  /**
   * Returns the time since the pending read was sent.
   *
   * @return time in ms; -1 if no read is pending
   */
  public long pendingReadMs() {
    return readPending ? node.now() - readSentMs : -1;
  }

  /**
   * Logs the records of a configuration. Responses about endpoints are too frequent to log each of
   * them.
   */
  private void logRecords(RecordStore.ReadResult.Records r) {
    if (topic != RecordStore.Topic.CONFIGURATION || r.records().isEmpty()) {
      return;
    }
    node.log()
        .line("records")
        .field("topic", topic.name())
        .field("era", node.storeEra().current())
        .field("from", nextOffset.orElse(-1))
        .field("records", r.records().size())
        .field("next", r.next())
        .field("end", r.end())
        .field("wait_ms", nextOffset.isEmpty() ? 0 : waitMs)
        .field("out_ms", node.now() - readSentMs)
        .write();
  }

  private void onResponse(long id, RecordStore.ReadResult result, boolean snapshot) {
    if (id == currentReadId) {
      runTimed(() -> handleResult(pendingFrom, result, snapshot));
    }
  }

  private void runTimed(Runnable task) {
    node.taskTimer().run("records_" + topic.name().toLowerCase(Locale.ROOT), task);
  }

  private void handleResult(long from, RecordStore.ReadResult result, boolean snapshot) {
    readPending = false;
    long delayMs = readDelayMs;
    if (result instanceof RecordStore.ReadResult.Records r) {
      long outageMs = onStoreAvailable();
      logRecords(r);
      if (snapshot) {
        nextOffset = OptionalLong.of(r.next());
        deliverSnapshot(r.records());
        delayMs = 0;
      } else {
        deliverFrom(from, r);
      }
      relay.ifPresent(x -> x.publish(snapshot ? r.next() : from, r, outageMs));
    } else if (result instanceof RecordStore.ReadResult.Deleted) {
      onStoreAvailable();
      node.log()
          .line("records_forgotten")
          .field("topic", topic.name())
          .field("era", node.storeEra().current())
          .field("from", from)
          .write();
      nextOffset = OptionalLong.empty();
      delayMs = 0;
    } else if (result instanceof RecordStore.ReadResult.Failed f) {
      if (!failing) {
        failing = true;
        failedSinceMs = node.now();
        node.log()
            .line("store_lost")
            .field("topic", topic.name())
            .field("reason", f.reason())
            .write();
      }
      delayMs = retryDelayMs;
      retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, 2 * retryDelayMs);
    }
    scheduleRead(delayMs);
  }

  private void deliverSnapshot(List<RecordStore.KeyedRecord> records) {
    boolean older = restored;
    restored = false;
    snapshotDelivered = true;
    deliver(
        () -> {
          if (older) {
            listener.onRestoredSnapshot(records);
          } else {
            listener.onSnapshot(records);
          }
        });
  }

  /** Delivers records. A failure to handle them is logged, so that it does not end the reading. */
  private void deliver(Runnable delivery) {
    try {
      delivery.run();
      listener.onConfirmed();
    } catch (RuntimeException e) {
      node.log().internalError(e);
    }
  }

  /** Handles a response of the store, and returns for how long there had been none, in ms. */
  private long onStoreAvailable() {
    retryDelayMs = MIN_RETRY_DELAY_MS;
    if (!failing) {
      return 0;
    }
    failing = false;
    long outageMs = node.now() - failedSinceMs;
    node.log()
        .line("store_regained")
        .field("topic", topic.name())
        .field("after_ms", outageMs)
        .write();
    listener.onRecovered(outageMs);
    return outageMs;
  }
}
