package io.kumquatspindle.engine.config;

import io.kumquatspindle.api.config.Ticket;
import java.util.List;
import java.util.function.Function;

/** Result of decoding a ticket with {@link TicketCodec}. */
public sealed interface DecodedTicket {

  /**
   * A ticket of the right form, which {@link TicketValidator} has not checked.
   *
   * @param ticket the ticket
   */
  record WellFormed(Ticket ticket) implements DecodedTicket {}

  /**
   * Bytes that are not a ticket.
   *
   * @param errors one message for each error, with the JSON path or the line and column
   */
  record Malformed(List<String> errors) implements DecodedTicket {
    /** Copies the list. */
    public Malformed {
      errors = List.copyOf(errors);
    }
  }

  /**
   * Applies the function that matches the result.
   *
   * @param wellFormed applied to the ticket
   * @param malformed applied to the errors
   * @return the function's result
   */
  default <T> T fold(
      Function<? super Ticket, ? extends T> wellFormed,
      Function<? super List<String>, ? extends T> malformed) {
    if (this instanceof WellFormed r) {
      return wellFormed.apply(r.ticket());
    }
    return malformed.apply(((Malformed) this).errors());
  }
}
