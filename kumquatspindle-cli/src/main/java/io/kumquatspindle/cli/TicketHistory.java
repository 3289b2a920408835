package io.kumquatspindle.cli;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.Ticket;
import io.kumquatspindle.engine.config.ConfigurationFold;
import java.util.List;
import java.util.Optional;

/**
 * The tickets stream as the fold sees it.
 *
 * @param baseNumber number of the last ticket in the snapshot that the history starts from, 0 if it
 *     starts from the first record
 * @param entries records in offset order
 * @param fold the fold after all records
 */
record TicketHistory(long baseNumber, List<Entry> entries, ConfigurationFold fold) {

  /**
   * A record of the stream.
   *
   * @param offset its offset
   * @param timeMs when the log took it, in milliseconds since the epoch
   * @param ticket its ticket, empty if it is not one
   * @param accepted whether it took effect
   * @param reason why it did not; empty if it did
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

  /** Tells whether the record that took a number is older than the history. */
  boolean isForgotten(long number) {
    return number >= 1 && number <= baseNumber;
  }

  Optional<Entry> acceptedNumber(long number) {
    return entries.stream().filter(e -> e.accepted() && e.hasNumber(number)).findFirst();
  }

  Optional<Entry> acceptedFiling(String filing) {
    return entries.stream().filter(e -> e.accepted() && e.hasFiling(filing)).findFirst();
  }

  /** Returns the last ignored record of a filing from an offset on. */
  Optional<Entry> ignoredFiling(String filing, long fromOffset) {
    return entries.stream()
        .filter(e -> !e.accepted() && e.offset() >= fromOffset && e.hasFiling(filing))
        .reduce((a, b) -> b);
  }
}
