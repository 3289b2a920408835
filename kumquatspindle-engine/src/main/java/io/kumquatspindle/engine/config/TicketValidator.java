package io.kumquatspindle.engine.config;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.Ticket;
import java.util.List;

/**
 * Finds the faults of a ticket. The result depends only on the arguments, since all VMs must come
 * to the same verdict on a record.
 */
public final class TicketValidator {

  private TicketValidator() {}

  /**
   * Returns all faults of a ticket. References are checked only when every name is present, so a
   * ticket without a name may have more faults than are returned.
   *
   * @param before the configuration that the ticket would change
   * @param ticket the ticket
   * @return one sentence for each fault, which names the object and the field; empty if the ticket
   *     is valid
   */
  public static List<String> faults(Configuration before, Ticket ticket) {
    Faults faults = new Faults();
    checkNumber(before, ticket, faults);
    boolean named = new ValueChecks(ticket, faults).check();
    if (named) {
      Configuration after = ConfigurationChange.apply(before, ticket);
      new RemovalChecks(before, ticket, faults).check();
      faults.addAll(new ReferenceChecks(after, ticket).check());
    }
    return faults.sentences();
  }

  private static void checkNumber(Configuration before, Ticket ticket, Faults faults) {
    long next = before.number() + 1;
    if (ticket.number() != next) {
      faults.add("ticket", "number must be " + next + " but is " + ticket.number());
    }
  }
}
