package io.kumquatspindle.cli;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.Ticket;
import io.kumquatspindle.engine.config.ConfigurationStateMachine;
import java.util.List;
import java.util.Optional;

/**
 * The records of the tickets stream, with their effect on the configuration.
 *
 * @param baseNumber number of the last ticket in the snapshot that the history starts from, 0 if it
 *     starts from the first record
 * @param entries records in offset order
 * @param fold the configuration state machine after all records
 */
record TicketHistory(long baseNumber, List<Entry> entries, ConfigurationStateMachine fold) {

  /**
   * A record of the stream.
   *
   * @param offset its offset
   * @param timeMs when it was appended, in milliseconds since the epoch
   * @param ticket its ticket, empty if it cannot be decoded as one
   * @param accepted whether the ticket took effect
   * @param reason why the record was ignored; empty if the ticket took effect
   */
  record Entry(long offset, long timeMs, Optional<Ticket> ticket, boolean accepted, String reason) {
    boolean hasNumber(long number) {
      return ticket.filter(t -> t.number() == number).isPresent();
    }

    boolean hasFiling(String filing) {
      return ticket.filter(t -> filing.equals(t.filing())).isPresent();
    }
  }

  Configuration configuration() {
    return fold.configuration();
  }

  long nextNumber() {
    return configuration().number() + 1;
  }

  boolean isTaken(long number) {
    return number >= 1 && number < nextNumber();
  }

  /** Returns whether the ticket with a number precedes the entries of this history. */
  boolean isCoveredBySnapshot(long number) {
    return number >= 1 && number <= baseNumber;
  }

  Optional<Entry> acceptedEntry(long number) {
    return entries.stream().filter(e -> e.accepted() && e.hasNumber(number)).findFirst();
  }

  Optional<Entry> acceptedEntryOfFiling(String filing) {
    return entries.stream().filter(e -> e.accepted() && e.hasFiling(filing)).findFirst();
  }

  /** Returns the last ignored record of a filing at or after an offset. */
  Optional<Entry> ignoredEntryOfFiling(String filing, long fromOffset) {
    return entries.stream()
        .filter(e -> !e.accepted() && e.offset() >= fromOffset && e.hasFiling(filing))
        .reduce((a, b) -> b);
  }
}
