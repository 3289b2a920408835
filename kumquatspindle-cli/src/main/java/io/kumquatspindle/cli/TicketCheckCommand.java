package io.kumquatspindle.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.kumquatspindle.api.config.Ticket;
import io.kumquatspindle.engine.config.TicketValidator;
import java.util.List;

@Command(
    name = "check",
    description =
        "Checks the form of a ticket and, with settings, checks it against the present"
            + " configuration. Files nothing.")
@Examples(
    examples = "kumquatspindle ticket check examples/tickets/0001-first.json",
    descriptions = "Prints the faults of the ticket, or that it has none")
final class TicketCheckCommand extends BaseCommand {
  @Required
  @Arguments(title = "file", description = "Ticket as JSON")
  private String file;

  /**
   * The answer of the command.
   *
   * @param faults the faults of the ticket
   * @param checkedAgainst number of the last accepted ticket of the configuration; -1 if only the
   *     form was checked
   * @param note what was not checked
   */
  record CheckResult(List<String> faults, long checkedAgainst, String note) {}

  @Override
  public ExitStatus execute(Environment environment) throws CliException {
    TicketFile read = TicketFile.read(file);
    if (!read.faults().isEmpty()) {
      return answer(environment, new CheckResult(read.faults(), -1, ""), ExitStatus.REJECTED);
    }
    if (!hasSettings()) {
      String note = "the form is right; not checked against the configuration, no settings";
      return answer(environment, new CheckResult(List.of(), -1, note), ExitStatus.DONE);
    }
    try {
      TicketHistory history = openLog(environment).read();
      // The filing identifier is not part of the file; any text serves for the check.
      Ticket ticket = read.require().withFiling("check");
      List<String> faults = TicketValidator.validate(history.configuration(), ticket);
      return answer(
          environment,
          new CheckResult(faults, history.configuration().number(), ""),
          faults.isEmpty() ? ExitStatus.DONE : ExitStatus.REJECTED);
    } catch (LogUnreadableException e) {
      String note = "the form is right; not checked against the configuration, " + e.getMessage();
      return answer(environment, new CheckResult(List.of(), -1, note), ExitStatus.UNREACHABLE);
    }
  }

  private ExitStatus answer(Environment environment, CheckResult result, ExitStatus status)
      throws CliException {
    StringBuilder s = new StringBuilder();
    result.faults().forEach(f -> s.append(file).append(": ").append(f).append('\n'));
    if (!result.note().isEmpty()) {
      s.append(file).append(": ").append(result.note()).append('\n');
    } else if (result.faults().isEmpty()) {
      s.append(file)
          .append(": valid against the configuration as of ticket ")
          .append(result.checkedAgainst())
          .append('\n');
    }
    print(environment, s.toString(), result);
    return status;
  }
}
