package io.kumquatspindle.cli;

import io.kumquatspindle.api.config.Ticket;
import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.cli.FilingOutcome.Result;
import io.kumquatspindle.engine.config.TicketValidator;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Files a ticket and finds out what became of it. */
final class TicketFiler {
  /** How long a record whose append went unanswered is looked for. */
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
   * Appends the ticket unless the log already determines its outcome, and returns the outcome. A
   * repeat with the same filing identifier never has a second effect.
   */
  FilingOutcome file() throws CliException {
    TicketHistory before;
    try {
      before = log.read();
    } catch (LogUnreadableException e) {
      return filing.usedBefore()
          ? outcome(Result.UNKNOWN, e.getMessage() + "; an earlier attempt may be in the log")
          : outcome(Result.NOT_FILED, e.getMessage() + "; nothing was filed");
    }
    Optional<FilingOutcome> settled = settled(before);
    if (settled.isPresent()) {
      return settled.get();
    }
    List<String> faults = TicketValidator.validate(before.configuration(), ticket);
    if (!faults.isEmpty()) {
      return outcome(Result.REJECTED, "rejected, nothing was filed: " + String.join("; ", faults));
    }
    filing.save();
    AppendResult result = log.append(ticket);
    if (result instanceof AppendResult.NotAppended n) {
      filing.discard();
      return filing.usedBefore()
          ? outcome(Result.UNKNOWN, n.reason() + "; an earlier attempt may still reach the log")
          : outcome(Result.NOT_FILED, "not filed: " + n.reason());
    }
    return readBack(before.fold().nextOffset());
  }

  /** Returns the outcome if the log already determines it. */
  private Optional<FilingOutcome> settled(TicketHistory history) throws CliException {
    Optional<TicketHistory.Entry> mine = history.acceptedFiling(filing.id());
    if (mine.isPresent()) {
      requireSameTicket(mine.get());
      return Optional.of(accepted(mine.get()));
    }
    if (!history.isTaken(ticket.number())) {
      return Optional.empty();
    }
    if (history.isForgotten(ticket.number()) && filing.usedBefore()) {
      return Optional.of(
          outcome(Result.UNKNOWN, "outcome unknown: the log no longer keeps the ticket"));
    }
    String author =
        history
            .acceptedNumber(ticket.number())
            .flatMap(TicketHistory.Entry::ticket)
            .map(t -> t.author())
            .orElse("an author that the log no longer keeps");
    return Optional.of(
        outcome(
            Result.LOST_RACE,
            "lost the race for the number to " + author + "; next number " + history.nextNumber()));
  }

  private FilingOutcome readBack(long fromOffset) throws CliException {
    long deadline = environment.clock().nowMs() + READ_BACK_TIMEOUT.toMillis();
    String problem;
    do {
      try {
        TicketHistory history = log.read();
        Optional<FilingOutcome> settled = settled(history);
        if (settled.isPresent()) {
          return settled.get();
        }
        Optional<TicketHistory.Entry> ignored = history.ignoredFiling(filing.id(), fromOffset);
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
