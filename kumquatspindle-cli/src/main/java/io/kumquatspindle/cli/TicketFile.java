package io.kumquatspindle.cli;

import io.kumquatspindle.api.config.Ticket;
import io.kumquatspindle.engine.config.TicketCodec;
import java.util.List;
import java.util.Optional;

/**
 * A ticket file that was read.
 *
 * @param name the file's name
 * @param content its bytes
 * @param ticket its ticket, empty if there are faults
 * @param faults faults of its form
 */
@SuppressWarnings("ArrayRecordComponent") // instances are never compared
record TicketFile(String name, byte[] content, Optional<Ticket> ticket, List<String> faults) {

  static TicketFile read(String name) throws CliException {
    byte[] content = BaseCommand.readFile(name);
    return TicketCodec.parse(content)
        .fold(t -> of(name, content, t), f -> new TicketFile(name, content, Optional.empty(), f));
  }

  /** Returns the ticket of a file of the right form. */
  Ticket require() throws CliException {
    return ticket.orElseThrow(
        () ->
            new CliException(
                ExitStatus.REJECTED, name + ": " + String.join("\n" + name + ": ", faults)));
  }

  private static TicketFile of(String name, byte[] content, Ticket ticket) {
    return ticket.filing() == null
        ? new TicketFile(name, content, Optional.of(ticket), List.of())
        : new TicketFile(
            name,
            content,
            Optional.empty(),
            List.of("$.filing: must be left out; the command keeps it beside the file"));
  }
}
