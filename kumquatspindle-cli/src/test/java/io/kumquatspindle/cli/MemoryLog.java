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

/** A log in memory that can fail in the ways of the real one. */
final class MemoryLog implements LogService {
  private static final long START_MS = 1_750_000_000_000L;

  private final Map<StreamName, List<LogRecord>> streams = new EnumMap<>(StreamName.class);

  /** Offsets below which records have expired. */
  final Map<StreamName, Long> earliest = new EnumMap<>(StreamName.class);

  boolean down;
  boolean failsDuringAppend;
  boolean losesAnswers;

  /** Whether appends that give no answer have no effect. */
  boolean losesRecords;

  /** Runs once, just before the next append takes effect. */
  Runnable beforeAppend = () -> {};

  @Override
  public AppendResult append(StreamName stream, byte[] value) {
    Runnable first = beforeAppend;
    beforeAppend = () -> {};
    first.run();
    down |= failsDuringAppend;
    if (losesAnswers && losesRecords) {
      return new AppendResult.Unknown("no answer");
    }
    List<LogRecord> records = records(stream);
    records.add(new LogRecord(records.size(), START_MS + records.size() * 1000L, value));
    return losesAnswers
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
