package io.kumquatspindle.engine.config;

import io.kumquatspindle.api.config.Ticket;
import java.util.List;
import java.util.function.Function;

/** What {@link TicketCodec} made of some bytes. */
public sealed interface DecodedTicket {

  /**
   * A ticket that has the right form; whether it is valid is up to {@link TicketValidator}.
   *
   * @param ticket the ticket
   */
  record Readable(Ticket ticket) implements DecodedTicket {}

  /**
   * Bytes that are not a ticket.
   *
   * @param faults one sentence for each fault, with the JSON path or the line and column
   */
  record Unreadable(List<String> faults) implements DecodedTicket {
    /** Copies the list. */
    public Unreadable {
      faults = List.copyOf(faults);
    }
  }

  /**
   * Applies the function of the case at hand.
   *
   * @param readable applied to a ticket
   * @param unreadable applied to the faults
   * @return the function's result
   */
  default <T> T fold(
      Function<? super Ticket, ? extends T> readable,
      Function<? super List<String>, ? extends T> unreadable) {
    if (this instanceof Readable r) {
      return readable.apply(r.ticket());
    }
    return unreadable.apply(((Unreadable) this).faults());
  }
}
