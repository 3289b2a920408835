package io.kumquatspindle.cli;

import io.kumquatspindle.api.config.Ticket;
import io.kumquatspindle.engine.config.TicketCodec;
import java.util.List;
import java.util.Optional;

/**
 * A ticket file and the result of parsing it.
 *
 * @param name the file's name
 * @param content its bytes
 * @param ticket its ticket, empty if there are format errors
 * @param faults format errors
 */
@SuppressWarnings("ArrayRecordComponent") // instances are never compared
record TicketFile(String name, byte[] content, Optional<Ticket> ticket, List<String> faults) {

  static TicketFile read(String name) throws CliException {
    byte[] content = BaseCommand.readFile(name);
    return TicketCodec.parse(content)
        .fold(t -> of(name, content, t), f -> new TicketFile(name, content, Optional.empty(), f));
  }

  /** Returns the ticket, or ends the command if the file has format errors. */
  Ticket ticketOrThrow() throws CliException {
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
            List.of("$.filing: must be omitted; the command stores it in a sidecar file"));
  }
}
