package io.kumquatspindle.control.snapshot;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.api.platform.LogRecord;
import io.kumquatspindle.api.platform.ReadResult;
import io.kumquatspindle.api.platform.StreamName;
import io.kumquatspindle.api.record.SnapshotChunk;
import io.kumquatspindle.control.log.LogAppender;
import io.kumquatspindle.control.log.StreamListener;
import io.kumquatspindle.control.state.StreamEvent;
import io.kumquatspindle.control.state.StreamOwner;
import io.kumquatspindle.engine.config.Snapshot;
import io.kumquatspindle.engine.config.SnapshotCollector;
import io.kumquatspindle.engine.config.SnapshotSchedule;
import io.kumquatspindle.engine.config.Snapshots;
import java.io.IOException;
import java.time.InstantSource;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.UUID;

/**
 * Reads snapshots from the log, passes them to the owners of the streams, and writes new snapshots
 * when they are due.
 *
 * <p>Not thread-safe: only the thread that follows the snapshots stream may access its state.
 */
public final class SnapshotService implements StreamListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  // While a requested or appended snapshot is younger than this and has not been read back from the
  // log, no other one is started for the stream.
  private static final long WRITE_TIMEOUT_MS = 30_000;

  private final Map<StreamName, StreamOwner> owners;
  private final LogAppender appender;
  private final SnapshotSchedule schedule;
  private final InstantSource wallClock;
  private final SnapshotCollector collector = new SnapshotCollector();
  private final Map<StreamName, Long> newestSnapshotMs = new EnumMap<>(StreamName.class);
  private final Map<StreamName, Long> writeStartedMs = new EnumMap<>(StreamName.class);
  private long nextOffset;

  /**
   * Creates a service.
   *
   * @param owners owners of the streams that have snapshots
   * @param appender appends to the snapshots stream
   * @param schedule determines when a snapshot is due
   * @param wallClock the clock that the times of log records are compared with
   */
  public SnapshotService(
      Map<StreamName, StreamOwner> owners,
      LogAppender appender,
      SnapshotSchedule schedule,
      InstantSource wallClock) {
    this.owners = new EnumMap<>(owners);
    this.appender = appender;
    this.schedule = schedule;
    this.wallClock = wallClock;
  }

  @Override
  public boolean onBatch(ReadResult.Batch batch, long requestedAtMs) {
    for (LogRecord r : batch.records()) {
      Optional<Snapshot> complete = collector.accept(r);
      complete.ifPresent(this::deliver);
    }
    long next = batch.records().isEmpty() ? batch.earliest() : lastOffset(batch) + 1;
    nextOffset = Math.max(nextOffset, next);
    if (nextOffset >= batch.end()) {
      writeDueSnapshots();
    }
    return true;
  }

  @Override
  public void onUnavailable(String reason) {
    logger.atFine().log("cannot read snapshots stream: %s", reason);
  }

  @Override
  public long nextOffset() {
    return nextOffset;
  }

  private static long lastOffset(ReadResult.Batch batch) {
    return batch.records().get(batch.records().size() - 1).offset();
  }

  private void deliver(Snapshot snapshot) {
    newestSnapshotMs.merge(snapshot.stream(), snapshot.timeMs(), Math::max);
    writeStartedMs.remove(snapshot.stream());
    StreamOwner owner = owners.get(snapshot.stream());
    if (owner != null) {
      owner.offer(new StreamEvent.SnapshotReceived(snapshot.offset(), snapshot.json()));
    }
  }

  private void writeDueSnapshots() {
    long now = wallClock.millis();
    Set<StreamName> streams = EnumSet.copyOf(owners.keySet());
    for (StreamName stream : streams) {
      if (isDue(stream, now)) {
        writeStartedMs.put(stream, now);
        StreamOwner owner = owners.get(stream);
        owner.offer(
            new StreamEvent.StateRequested(
                (offset, state) -> writeSnapshot(stream, offset, state)));
      }
    }
  }

  private boolean isDue(StreamName stream, long now) {
    StreamOwner owner = owners.get(stream);
    OptionalLong oldestRecordMs = owner.oldestRecordMs();
    boolean inProgress = now - writeStartedMs.getOrDefault(stream, 0L) < WRITE_TIMEOUT_MS;
    if (owner.nextOffset() == 0 || inProgress) {
      return false;
    }
    Long newestMs = newestSnapshotMs.get(stream);
    if (newestMs != null) {
      // Applies also to a VM that has read no record. Otherwise no VM would renew the snapshot once
      // all records have expired and all VMs have been replaced.
      return schedule.delayMs(OptionalLong.of(newestMs), newestMs, now) == 0;
    }
    // If the log has neither records nor snapshots, the state came from a peer and is written now.
    return oldestRecordMs.isEmpty()
        || schedule.delayMs(OptionalLong.empty(), oldestRecordMs.getAsLong(), now) == 0;
  }

  // Called on the owner's thread; the appender does not block it.
  private void writeSnapshot(StreamName stream, long offset, byte[] state) {
    try {
      Object json = Json.mapper().readTree(state);
      String id = UUID.randomUUID().toString();
      for (SnapshotChunk c : Snapshots.split(stream, offset, id, json)) {
        appender.append(Json.encode(c), r -> logFailure(stream, r));
      }
      logger.atInfo().log("writing snapshot of stream %s at offset %d", stream.path(), offset);
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("cannot encode snapshot of stream %s", stream.path());
    }
  }

  private static void logFailure(StreamName stream, AppendResult result) {
    if (!(result instanceof AppendResult.Appended)) {
      logger.atWarning().log("appending snapshot of stream %s failed: %s", stream.path(), result);
    }
  }
}
