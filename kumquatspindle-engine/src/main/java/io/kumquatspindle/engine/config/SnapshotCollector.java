package io.kumquatspindle.engine.config;

import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.platform.LogRecord;
import io.kumquatspindle.api.platform.StreamName;
import io.kumquatspindle.api.record.SnapshotChunk;
import java.io.IOException;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Assembles the newest complete snapshot of each stream from the records of the {@code snapshots}
 * stream. Chunks of several writers may be interleaved, and writers may leave snapshots incomplete.
 * Not thread-safe.
 */
public final class SnapshotCollector {
  /**
   * Limit on incomplete snapshots kept for each stream. Snapshots are written rarely, so more than
   * this many are incomplete only if writers have died.
   */
  private static final int MAX_INCOMPLETE = 8;

  /** Limit on the chunks of a snapshot, so that a malformed record cannot allocate much memory. */
  private static final int MAX_CHUNKS = 4096;

  private final Map<StreamName, Snapshot> newest = new EnumMap<>(StreamName.class);
  private final Map<StreamName, Map<String, SnapshotAssembly>> incomplete =
      new EnumMap<>(StreamName.class);

  /**
   * Handles a record. Records that are not valid chunks are skipped.
   *
   * @param record a record of the snapshots stream
   * @return the snapshot that the record completed, if it is now the newest one
   */
  public Optional<Snapshot> accept(LogRecord record) {
    SnapshotChunk chunk;
    try {
      chunk = Json.decode(record.value(), SnapshotChunk.class);
    } catch (IOException e) {
      return Optional.empty();
    }
    Optional<StreamName> stream = streamOf(chunk);
    if (stream.isEmpty() || isOutdated(stream.get(), chunk)) {
      return Optional.empty();
    }
    return add(stream.get(), chunk, record.timeMs());
  }

  /**
   * Returns the newest complete snapshot of a stream: the one with the highest offset, and of those
   * the one completed last.
   *
   * @param stream the stream
   * @return the snapshot, if one is complete
   */
  public Optional<Snapshot> newest(StreamName stream) {
    return Optional.ofNullable(newest.get(stream));
  }

  private Optional<Snapshot> add(StreamName stream, SnapshotChunk chunk, long timeMs) {
    Map<String, SnapshotAssembly> pending =
        incomplete.computeIfAbsent(stream, s -> new LinkedHashMap<>());
    SnapshotAssembly assembly = pending.remove(chunk.snapshotId());
    if (assembly == null) {
      assembly = new SnapshotAssembly(chunk);
    }
    assembly.add(chunk);
    if (!assembly.isComplete()) {
      // Inserted again at the end, so that the first entry has waited longest for a chunk.
      pending.put(chunk.snapshotId(), assembly);
      if (pending.size() > MAX_INCOMPLETE) {
        pending.remove(pending.keySet().iterator().next());
      }
      return Optional.empty();
    }
    Snapshot s =
        new Snapshot(stream, assembly.offset(), chunk.snapshotId(), timeMs, assembly.json());
    newest.put(stream, s);
    pending.values().removeIf(a -> a.offset() < s.offset());
    return Optional.of(s);
  }

  private boolean isOutdated(StreamName stream, SnapshotChunk chunk) {
    Snapshot known = newest.get(stream);
    return known != null
        && (chunk.offset() < known.offset() || chunk.snapshotId().equals(known.id()));
  }

  private static Optional<StreamName> streamOf(SnapshotChunk c) {
    boolean valid =
        c != null
            && c.snapshotId() != null
            && c.bytes() != null
            && c.offset() >= 0
            && c.count() >= 1
            && c.count() <= MAX_CHUNKS
            && c.index() >= 0
            && c.index() < c.count();
    return valid
        ? Arrays.stream(StreamName.values()).filter(s -> s.path().equals(c.stream())).findFirst()
        : Optional.empty();
  }
}
