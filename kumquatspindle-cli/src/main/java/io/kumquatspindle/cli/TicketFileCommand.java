package io.kumquatspindle.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.annotations.restrictions.ranges.IntegerRange;
import java.time.Duration;
import java.util.Optional;

@Command(
    name = "file",
    description =
        "Files a ticket and reports whether it was accepted, lost the race for its number, was"
            + " rejected, or has an unknown outcome. Repeating the command is safe.")
@Examples(
    examples = {
      "kumquatspindle ticket file ticket.json",
      "kumquatspindle ticket file ticket.json --wait --timeout 30"
    },
    descriptions = {
      "Files the ticket; keeps its filing identifier in ticket.json.filing",
      "Also waits up to 30 s until the ticket is in force on all live VMs"
    })
final class TicketFileCommand extends BaseCommand {
  private static final Duration POLL_PERIOD = Duration.ofMillis(500);

  @Required
  @Arguments(title = "file", description = "Ticket as JSON")
  private String file;

  @Option(
      name = "--filing",
      title = "id",
      description = "Filing identifier to use instead of the one in the side file FILE.filing")
  private String filing;

  @Option(name = "--wait", description = "Waits until the ticket is in force on all live VMs")
  private boolean wait;

  @Option(
      name = "--timeout",
      title = "seconds",
      description = "How long --wait waits (default: 10)")
  @IntegerRange(min = 1, max = 86_400)
  private int timeout = 10;

  /**
   * The answer of the command.
   *
   * @param outcome what became of the ticket
   * @param inForce whether it is in force, after {@code --wait}
   */
  record FileResult(FilingOutcome outcome, Optional<ForceReport> inForce) {}

  @Override
  public ExitStatus execute(Environment environment) throws CliException {
    TicketFile read = TicketFile.read(file);
    read.require();
    TicketLog log = openLog(environment);
    // Opened before filing, so that faulty settings are reported while nothing has been filed.
    Optional<FleetProbe> fleet = wait ? Optional.of(openFleet(environment)) : Optional.empty();
    FilingId id =
        filing == null
            ? FilingId.of(file, read.content(), environment.filingIds())
            : FilingId.given(filing);
    FilingOutcome outcome = new TicketFiler(log, environment, read.require(), id).file();
    boolean accepted = outcome.result() == FilingOutcome.Result.ACCEPTED;
    if (!accepted || fleet.isEmpty()) {
      print(environment, outcome.text(), new FileResult(outcome, Optional.empty()));
      return outcome.result().status();
    }
    ForceReport report = follow(environment, log, fleet.get(), outcome.number());
    print(environment, report.text(), new FileResult(outcome, Optional.of(report)));
    // The log says that the ticket was accepted, so what is missing is only its spread.
    return report.inForceEverywhere() ? ExitStatus.DONE : ExitStatus.NOT_EVERYWHERE;
  }

  private ForceReport follow(
      Environment environment, TicketLog log, FleetProbe fleet, long number) {
    long deadline = environment.clock().nowMs() + timeout * 1000L;
    while (true) {
      ForceReport report = TicketStatusCommand.report(number, log, fleet);
      if (report.inForceEverywhere() || environment.clock().nowMs() >= deadline) {
        return report;
      }
      try {
        environment.pause().sleep(POLL_PERIOD);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return report;
      }
    }
  }
}
