package io.kumquatspindle.cli;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.Ticket;
import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.api.platform.LogRecord;
import io.kumquatspindle.api.platform.LogService;
import io.kumquatspindle.api.platform.ReadResult;
import io.kumquatspindle.api.platform.StreamName;
import io.kumquatspindle.engine.config.ConfigurationStateMachine;
import io.kumquatspindle.engine.config.ConfigurationStateMachine.Outcome;
import io.kumquatspindle.engine.config.Snapshot;
import io.kumquatspindle.engine.config.SnapshotCollector;
import io.kumquatspindle.engine.config.TicketCodec;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Reads and appends tickets in the tickets stream of the log service. */
final class TicketLog {
  private static final int RECORDS_PER_READ = 500;

  private final LogService log;

  TicketLog(LogService log) {
    this.log = log;
  }

  AppendResult append(Ticket ticket) {
    return log.append(StreamName.TICKETS, TicketCodec.encode(ticket));
  }

  /** Reads the retained history, or ends the command if the log cannot be read. */
  TicketHistory readOrFail() throws CliException {
    try {
      return read();
    } catch (LogUnreadableException e) {
      throw new CliException(ExitStatus.UNREACHABLE, e.getMessage());
    }
  }

  /** Reads all history that the log retains, starting from a snapshot if records have expired. */
  TicketHistory read() throws LogUnreadableException {
    List<LogRecord> records = new ArrayList<>();
    long earliest = readAll(StreamName.TICKETS, records::add);
    return buildHistory(
        earliest == 0 ? ConfigurationStateMachine.initial() : stateMachineFromSnapshot(earliest),
        records);
  }

  private static TicketHistory buildHistory(
      ConfigurationStateMachine start, List<LogRecord> records) throws LogUnreadableException {
    List<TicketHistory.Entry> entries = new ArrayList<>();
    ConfigurationStateMachine stateMachine = start;
    for (LogRecord r : records) {
      if (r.offset() < stateMachine.nextOffset()) {
        continue;
      }
      Outcome outcome = stateMachine.apply(r);
      if (outcome instanceof Outcome.Gap gap) {
        throw new LogUnreadableException(
            "ticket records are missing from the log from offset " + gap.expectedOffset());
      }
      Optional<Ticket> ticket =
          TicketCodec.decode(r.value()).fold(Optional::of, faults -> Optional.empty());
      String reason = outcome instanceof Outcome.Ignored i ? i.reason() : "";
      boolean accepted = outcome instanceof Outcome.Accepted;
      entries.add(new TicketHistory.Entry(r.offset(), r.timeMs(), ticket, accepted, reason));
      stateMachine =
          outcome.fold(Outcome.Accepted::stateMachine, Outcome.Ignored::stateMachine, gap -> start);
    }
    return new TicketHistory(start.configuration().number(), entries, stateMachine);
  }

  // Uses the oldest snapshot that covers the expired records: it leaves the most to report on.
  private ConfigurationStateMachine stateMachineFromSnapshot(long earliest)
      throws LogUnreadableException {
    SnapshotCollector collector = new SnapshotCollector();
    List<Snapshot> covering = new ArrayList<>();
    readAll(
        StreamName.SNAPSHOTS,
        r ->
            collector
                .accept(r)
                .filter(s -> s.stream() == StreamName.TICKETS && s.offset() >= earliest)
                .ifPresent(covering::add));
    for (Snapshot s : covering) {
      Optional<Configuration> c = s.decode(Configuration.class);
      if (c.isPresent()) {
        return ConfigurationStateMachine.of(s.offset(), c.get());
      }
    }
    throw new LogUnreadableException(
        "the log retains tickets only from offset "
            + earliest
            + ", and no snapshot covers the rest");
  }

  /** Reads a stream from its earliest record to its end and returns the earliest offset. */
  private long readAll(StreamName stream, Consumer<LogRecord> consumer)
      throws LogUnreadableException {
    ReadResult.Batch batch = readFrom(stream, 0);
    long earliest = batch.earliest();
    long next = earliest;
    while (true) {
      for (LogRecord r : batch.records()) {
        consumer.accept(r);
        next = r.offset() + 1;
      }
      if (next >= batch.end()) {
        return earliest;
      }
      if (batch.records().isEmpty()) {
        throw new LogUnreadableException(
            "the log returned no record at offset " + next + " of stream " + stream.path());
      }
      batch = readFrom(stream, next);
    }
  }

  private ReadResult.Batch readFrom(StreamName stream, long from) throws LogUnreadableException {
    ReadResult result = log.read(stream, from, RECORDS_PER_READ, Duration.ZERO);
    if (result instanceof ReadResult.Batch b) {
      return b;
    }
    String reason = ((ReadResult.Unavailable) result).reason();
    throw new LogUnreadableException("the log cannot be read: " + reason);
  }
}
