package io.kumquatspindle.engine.config;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.Ticket;
import java.util.List;

/**
 * Validates tickets. The result depends only on the arguments, since all VMs must accept or reject
 * a record alike.
 */
public final class TicketValidator {

  private TicketValidator() {}

  /**
   * Returns the errors of a ticket. References are checked only if every object has its name, so
   * the list may be incomplete if a name is missing.
   *
   * @param before the configuration that the ticket would change
   * @param ticket the ticket
   * @return one message for each error, which names the object and the field; empty if the ticket
   *     is valid
   */
  public static List<String> validate(Configuration before, Ticket ticket) {
    ValidationErrors errors = new ValidationErrors();
    checkNumber(before, ticket, errors);
    boolean allNamed = new ValueChecks(ticket, errors).check();
    if (allNamed) {
      Configuration after = ConfigurationChange.apply(before, ticket);
      new RemovalChecks(before, ticket, errors).check();
      errors.addAll(new ReferenceChecks(after, ticket).check());
    }
    return errors.messages();
  }

  private static void checkNumber(Configuration before, Ticket ticket, ValidationErrors errors) {
    long next = before.number() + 1;
    if (ticket.number() != next) {
      errors.add("ticket", "number must be " + next + " but is " + ticket.number());
    }
  }
}
