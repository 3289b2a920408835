package io.kumquatspindle.node.follow;

import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.port.RecordStore;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;

/**
 * Follows one topic of the store: the newest record of each key first, then records as they are
 * written, and the newest again when records were deleted that had not been read.
 */
public final class Follower {
  /** Pause after the first failed read, in ms; doubles with each in a row. */
  private static final long FAILURE_PAUSE_MS = 300;

  /** Longest pause after a failed read, in ms; leaves half of the time for a configuration. */
  private static final long MOST_PAUSE_MS = 900;

  private final NodeContext node;
  private final RecordStore store;
  private final RecordStore.Topic topic;
  private final Listener listener;
  private final long waitMs;
  private final long pauseMs;
  private OptionalLong next = OptionalLong.empty();
  private long failedSinceMs;
  private long failurePauseMs = FAILURE_PAUSE_MS;
  private boolean failing;
  private boolean reading;
  private long sentMs;
  private long newestRead;
  private long newerNotBeforeMs = Long.MIN_VALUE / 2;
  private boolean newerOut;

  /** Gets what is read. All calls are made on the event loop. */
  public interface Listener {
    /**
     * The newest record of each key has been read.
     *
     * @param records the records
     */
    void all(List<RecordStore.KeyedRecord> records);

    /**
     * A record has been written.
     *
     * @param record the record
     */
    void one(RecordStore.KeyedRecord record);

    /** The store has answered: what has been read is complete until now. */
    void confirmed();

    /**
     * The store answers again.
     *
     * @param afterMs time without an answer, in ms
     */
    void regained(long afterMs);
  }

  /**
   * Creates a follower.
   *
   * @param node shared context
   * @param store the store
   * @param topic what to follow
   * @param waitMs longest time that a read waits at the store, in ms
   * @param pauseMs pause between reads, in ms
   * @param listener gets what is read
   */
  public Follower(
      NodeContext node,
      RecordStore store,
      RecordStore.Topic topic,
      long waitMs,
      long pauseMs,
      Listener listener) {
    this.node = node;
    this.store = store;
    this.topic = topic;
    this.waitMs = waitMs;
    this.pauseMs = pauseMs;
    this.listener = listener;
  }

  /** Reads on; called at the start, and goes on by itself. */
  public void read() {
    if (reading) {
      return;
    }
    reading = true;
    sentMs = node.now();
    long id = ++newestRead;
    if (next.isEmpty()) {
      store.readLatest(topic, a -> onAnswer(id, a));
    } else {
      store.read(topic, next.getAsLong(), waitMs, a -> onAnswer(id, a));
    }
  }

  /**
   * Reads what another VM is known to have read already, also while a read waits: the store may
   * have missed to wake it, or its connection may be silent. One at a time: on a slow link several
   * would keep each other from coming to an end.
   */
  public void readNewer() {
    if (next.isEmpty()) {
      read();
      return;
    }
    if (newerOut || node.now() < newerNotBeforeMs) {
      return;
    }
    newerOut = true;
    store.read(topic, next.getAsLong(), 0, a -> counted(() -> onNewer(a)));
  }

  private void onNewer(RecordStore.ReadResult answer) {
    newerOut = false;
    boolean failed = answer instanceof RecordStore.ReadResult.Failed;
    newerNotBeforeMs = node.now() + (failed ? MOST_PAUSE_MS : FAILURE_PAUSE_MS);
    if (answer instanceof RecordStore.ReadResult.Records r && r.next() > next.orElse(0)) {
      // The read that waits asks for what is known now; its answer is not waited for.
      newestRead++;
      take(answer);
    } else if (answer instanceof RecordStore.ReadResult.Failed f) {
      node.log()
          .line("read_failed")
          .field("topic", topic.name())
          .field("reason", f.reason())
          .write();
    }
  }

  /**
   * Returns how long the read in progress has been out.
   *
   * @return time in ms; -1 if there is none
   */
  public long outMs() {
    return reading ? node.now() - sentMs : -1;
  }

  /** Configurations are rare; a line for each answer about endpoints would say little. */
  private void log(RecordStore.ReadResult.Records r) {
    if (topic != RecordStore.Topic.CONFIGURATION || r.records().isEmpty()) {
      return;
    }
    node.log()
        .line("records")
        .field("topic", topic.name())
        .field("from", next.orElse(-1))
        .field("records", r.records().size())
        .field("next", r.next())
        .field("end", r.end())
        .field("wait_ms", next.isEmpty() ? 0 : waitMs)
        .field("out_ms", node.now() - sentMs)
        .write();
  }

  private void onAnswer(long id, RecordStore.ReadResult answer) {
    if (id == newestRead) {
      counted(() -> take(answer));
    }
  }

  private void counted(Runnable task) {
    node.dutyTimer().run("records_" + topic.name().toLowerCase(Locale.ROOT), task);
  }

  private void take(RecordStore.ReadResult answer) {
    reading = false;
    long pause = pauseMs;
    if (answer instanceof RecordStore.ReadResult.Records r) {
      regained();
      boolean first = next.isEmpty();
      log(r);
      next = OptionalLong.of(r.next());
      if (first) {
        listener.all(r.records());
        pause = 0;
      } else {
        r.records().forEach(listener::one);
      }
      listener.confirmed();
    } else if (answer instanceof RecordStore.ReadResult.Deleted) {
      regained();
      node.log().line("records_forgotten").field("topic", topic.name()).write();
      next = OptionalLong.empty();
      pause = 0;
    } else if (answer instanceof RecordStore.ReadResult.Failed f) {
      if (!failing) {
        failing = true;
        failedSinceMs = node.now();
        node.log()
            .line("store_lost")
            .field("topic", topic.name())
            .field("reason", f.reason())
            .write();
      }
      pause = failurePauseMs;
      failurePauseMs = Math.min(MOST_PAUSE_MS, 2 * failurePauseMs);
    }
    node.schedule(pause, this::read);
  }

  private void regained() {
    failurePauseMs = FAILURE_PAUSE_MS;
    if (failing) {
      failing = false;
      long after = node.now() - failedSinceMs;
      node.log()
          .line("store_regained")
          .field("topic", topic.name())
          .field("after_ms", after)
          .write();
      listener.regained(after);
    }
  }
}
