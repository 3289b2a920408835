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
      "Files the ticket; stores its filing identifier in ticket.json.filing",
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
      description = "Filing identifier to use instead of the one in the sidecar file FILE.filing")
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
   * The JSON output of the command.
   *
   * @param outcome outcome of filing the ticket
   * @param inForce status of an accepted ticket after {@code --wait}; otherwise empty
   */
  record FileResult(FilingOutcome outcome, Optional<TicketStatusReport> inForce) {}

  @Override
  public ExitStatus execute(Environment environment) throws CliException {
    TicketFile ticketFile = TicketFile.read(file);
    ticketFile.ticketOrThrow();
    TicketLog log = openLog(environment);
    // Created before filing, so that invalid settings are reported before anything is filed.
    Optional<FleetProbe> fleet = wait ? Optional.of(openFleet(environment)) : Optional.empty();
    FilingId id =
        filing == null
            ? FilingId.ofSidecarFile(file, ticketFile.content(), environment.filingIds())
            : FilingId.ofOption(filing);
    FilingOutcome outcome =
        new TicketFiler(log, environment, ticketFile.ticketOrThrow(), id).file();
    boolean accepted = outcome.result() == FilingOutcome.Result.ACCEPTED;
    if (!accepted || fleet.isEmpty()) {
      print(environment, outcome.text(), new FileResult(outcome, Optional.empty()));
      return outcome.result().status();
    }
    TicketStatusReport report = waitUntilInForce(environment, log, fleet.get(), outcome.number());
    print(environment, report.text(), new FileResult(outcome, Optional.of(report)));
    // The log shows that the ticket was accepted; only its propagation to VMs may be incomplete.
    return report.inForceEverywhere() ? ExitStatus.DONE : ExitStatus.NOT_EVERYWHERE;
  }

  private TicketStatusReport waitUntilInForce(
      Environment environment, TicketLog log, FleetProbe fleet, long number) {
    long deadline = environment.clock().nowMs() + timeout * 1000L;
    while (true) {
      TicketStatusReport report = TicketStatusCommand.report(number, log, fleet);
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
