package io.kumquatspindle.cli;

import io.kumquatspindle.api.config.Ticket;
import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.cli.FilingOutcome.Result;
import io.kumquatspindle.engine.config.TicketValidator;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Files a ticket and determines the outcome. */
final class TicketFiler {
  /** How long the log is polled for the ticket after an append, which may have gone unanswered. */
  private static final Duration READ_BACK_TIMEOUT = Duration.ofSeconds(5);

  private static final Duration READ_BACK_PERIOD = Duration.ofMillis(250);

  private final TicketLog log;
  private final Environment environment;
  private final Ticket ticket;
  private final FilingId filing;

  TicketFiler(TicketLog log, Environment environment, Ticket ticket, FilingId filing) {
    this.log = log;
    this.environment = environment;
    this.ticket = ticket.withFiling(filing.id());
    this.filing = filing;
  }

  /**
   * Appends the ticket unless the log already determines its outcome, and returns the outcome.
   * Repeating the call with the same filing identifier never applies the ticket a second time.
   */
  FilingOutcome file() throws CliException {
    TicketHistory before;
    try {
      before = log.read();
    } catch (LogUnreadableException e) {
      return filing.mayBeInLog()
          ? outcome(Result.UNKNOWN, e.getMessage() + "; an earlier attempt may be in the log")
          : outcome(Result.NOT_FILED, e.getMessage() + "; nothing was filed");
    }
    Optional<FilingOutcome> known = outcomeFromLog(before);
    if (known.isPresent()) {
      return known.get();
    }
    List<String> faults = TicketValidator.validate(before.configuration(), ticket);
    if (!faults.isEmpty()) {
      return outcome(Result.REJECTED, "rejected, nothing was filed: " + String.join("; ", faults));
    }
    filing.save();
    AppendResult result = log.append(ticket);
    if (result instanceof AppendResult.NotAppended n) {
      filing.discard();
      return filing.mayBeInLog()
          ? outcome(Result.UNKNOWN, n.reason() + "; an earlier attempt may still reach the log")
          : outcome(Result.NOT_FILED, "not filed: " + n.reason());
    }
    return awaitOutcome(before.fold().nextOffset());
  }

  /** Returns the outcome, or empty if the log does not determine it yet. */
  private Optional<FilingOutcome> outcomeFromLog(TicketHistory history) throws CliException {
    Optional<TicketHistory.Entry> ownEntry = history.acceptedEntryOfFiling(filing.id());
    if (ownEntry.isPresent()) {
      requireSameTicket(ownEntry.get());
      return Optional.of(accepted(ownEntry.get()));
    }
    if (!history.isTaken(ticket.number())) {
      return Optional.empty();
    }
    if (history.isCoveredBySnapshot(ticket.number()) && filing.mayBeInLog()) {
      return Optional.of(
          outcome(Result.UNKNOWN, "outcome unknown: the ticket's record has expired from the log"));
    }
    String author =
        history
            .acceptedEntry(ticket.number())
            .flatMap(TicketHistory.Entry::ticket)
            .map(t -> t.author())
            .orElse("an unknown author, whose ticket has expired from the log");
    return Optional.of(
        outcome(
            Result.LOST_RACE,
            "lost the race for the number to " + author + "; next number " + history.nextNumber()));
  }

  private FilingOutcome awaitOutcome(long fromOffset) throws CliException {
    long deadline = environment.clock().nowMs() + READ_BACK_TIMEOUT.toMillis();
    String problem;
    do {
      try {
        TicketHistory history = log.read();
        Optional<FilingOutcome> known = outcomeFromLog(history);
        if (known.isPresent()) {
          return known.get();
        }
        Optional<TicketHistory.Entry> ignored =
            history.ignoredEntryOfFiling(filing.id(), fromOffset);
        if (ignored.isPresent()) {
          return outcome(Result.REJECTED, "rejected: " + ignored.get().reason());
        }
        problem = "the ticket is not in the log yet";
      } catch (LogUnreadableException e) {
        problem = e.getMessage();
      }
    } while (sleep() && environment.clock().nowMs() < deadline);
    return outcome(
        Result.UNKNOWN, "outcome unknown: " + problem + "; repeat the same command to find out");
  }

  private boolean sleep() {
    try {
      environment.pause().sleep(READ_BACK_PERIOD);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private void requireSameTicket(TicketHistory.Entry entry) throws CliException {
    if (!entry.ticket().equals(Optional.of(ticket))) {
      throw new CliException(
          ExitStatus.USAGE,
          "filing " + filing.id() + " was used for another ticket, at offset " + entry.offset());
    }
  }

  private FilingOutcome accepted(TicketHistory.Entry entry) {
    return outcome(Result.ACCEPTED, "accepted at offset " + entry.offset());
  }

  private FilingOutcome outcome(Result result, String detail) {
    return new FilingOutcome(result, ticket.number(), filing.id(), detail);
  }
}
