package io.kumquatspindle.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.annotations.restrictions.ranges.LongRange;
import java.util.Optional;

@Command(
    name = "status",
    description = "Shows whether a ticket was accepted and on which VMs it is in force")
@Examples(
    examples = "kumquatspindle ticket status 42",
    descriptions = "Prints \"In force on all live VMs\", or lists the VMs that are behind")
final class TicketStatusCommand extends BaseCommand {
  @Required
  @LongRange(min = 1)
  @Arguments(title = "number", description = "Number of the ticket")
  private long number;

  @Override
  public ExitStatus execute(Environment environment) throws CliException {
    TicketStatusReport report = report(number, openLog(environment), openFleet(environment));
    print(environment, report.text(), report);
    return report.status();
  }

  static TicketStatusReport report(long number, TicketLog log, FleetProbe fleet) {
    try {
      return TicketStatusReport.of(number, Optional.of(log.read()), "", fleet.queryAll());
    } catch (LogUnreadableException e) {
      return TicketStatusReport.of(number, Optional.empty(), e.getMessage(), fleet.queryAll());
    }
  }
}
