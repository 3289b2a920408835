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
        "Checks the format of a ticket and, with settings, validates it against the current"
            + " configuration. Files nothing.")
@Examples(
    examples = "kumquatspindle ticket check examples/tickets/0001-first.json",
    descriptions = "Prints the errors in the ticket, or that it is valid")
final class TicketCheckCommand extends BaseCommand {
  @Required
  @Arguments(title = "file", description = "Ticket as JSON")
  private String file;

  /**
   * The JSON output of the command.
   *
   * @param faults validation errors of the ticket
   * @param checkedAgainst number of the last ticket accepted into the configuration; -1 if only the
   *     format was checked
   * @param note what was not checked and why; empty if everything was checked
   */
  record CheckResult(List<String> faults, long checkedAgainst, String note) {}

  @Override
  public ExitStatus execute(Environment environment) throws CliException {
    TicketFile ticketFile = TicketFile.read(file);
    if (!ticketFile.faults().isEmpty()) {
      return printResult(
          environment, new CheckResult(ticketFile.faults(), -1, ""), ExitStatus.REJECTED);
    }
    if (!hasSettings()) {
      String note = "the format is valid; not checked against the configuration: no settings";
      return printResult(environment, new CheckResult(List.of(), -1, note), ExitStatus.DONE);
    }
    try {
      TicketHistory history = openLog(environment).read();
      // The file does not contain a filing identifier; any non-blank text passes validation.
      Ticket ticket = ticketFile.ticketOrThrow().withFiling("check");
      List<String> faults = TicketValidator.validate(history.configuration(), ticket);
      return printResult(
          environment,
          new CheckResult(faults, history.configuration().number(), ""),
          faults.isEmpty() ? ExitStatus.DONE : ExitStatus.REJECTED);
    } catch (LogUnreadableException e) {
      String note = "the format is valid; not checked against the configuration: " + e.getMessage();
      return printResult(environment, new CheckResult(List.of(), -1, note), ExitStatus.UNREACHABLE);
    }
  }

  private ExitStatus printResult(Environment environment, CheckResult result, ExitStatus status)
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
