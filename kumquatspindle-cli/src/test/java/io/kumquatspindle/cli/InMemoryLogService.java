package io.kumquatspindle.cli;

import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.api.platform.LogRecord;
import io.kumquatspindle.api.platform.LogService;
import io.kumquatspindle.api.platform.ReadResult;
import io.kumquatspindle.api.platform.StreamName;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** An in-memory log service that can simulate failures of the real one. */
final class InMemoryLogService implements LogService {
  private static final long START_MS = 1_750_000_000_000L;

  private final Map<StreamName, List<LogRecord>> streams = new EnumMap<>(StreamName.class);

  /** Earliest offset of each stream that has not expired; 0 if absent. */
  final Map<StreamName, Long> earliest = new EnumMap<>(StreamName.class);

  boolean down;
  boolean failDuringAppend;
  boolean dropResponses;

  /** Whether an append without a response also has no effect. */
  boolean dropRecords;

  /** Runs once, immediately before the next append takes effect. */
  Runnable beforeAppend = () -> {};

  @Override
  public AppendResult append(StreamName stream, byte[] value) {
    Runnable first = beforeAppend;
    beforeAppend = () -> {};
    first.run();
    down |= failDuringAppend;
    if (dropResponses && dropRecords) {
      return new AppendResult.Unknown("no answer");
    }
    List<LogRecord> records = records(stream);
    records.add(new LogRecord(records.size(), START_MS + records.size() * 1000L, value));
    return dropResponses
        ? new AppendResult.Unknown("no answer")
        : new AppendResult.Appended(records.size() - 1L);
  }

  @Override
  public ReadResult read(StreamName stream, long from, int max, Duration wait) {
    if (down) {
      return new ReadResult.Unavailable("connection refused");
    }
    List<LogRecord> records = records(stream);
    long first = earliest.getOrDefault(stream, 0L);
    return new ReadResult.Batch(
        first,
        records.size(),
        records.stream().filter(r -> r.offset() >= Math.max(first, from)).limit(max).toList());
  }

  void add(String ticket) {
    append(StreamName.TICKETS, ticket.getBytes(StandardCharsets.UTF_8));
  }

  List<LogRecord> records(StreamName stream) {
    return streams.computeIfAbsent(stream, s -> new ArrayList<>());
  }
}
