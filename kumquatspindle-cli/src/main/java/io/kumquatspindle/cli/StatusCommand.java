package io.kumquatspindle.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import io.kumquatspindle.api.config.Configuration;
import java.util.Optional;

@Command(
    name = "status",
    description =
        "Shows the VMs of each failure domain, the last ticket in force and the grace time left")
@Examples(
    examples = "kumquatspindle status --settings site-kenya.ini",
    descriptions = "Shows the fleet of the site that the settings describe")
final class StatusCommand extends BaseCommand {

  /**
   * The answer of the command.
   *
   * @param fleet the fleet as the controls see it
   * @param grace grace times of keys
   */
  record StatusResult(FleetView fleet, Grace grace) {}

  @Override
  public ExitStatus execute(Environment environment) throws CliException {
    FleetView view = openFleet(environment).ask();
    Grace grace = Grace.of(configuration(environment));
    print(environment, FleetText.of(view, grace), new StatusResult(view, grace));
    return view.unanswered() ? ExitStatus.UNREACHABLE : ExitStatus.DONE;
  }

  private Optional<Configuration> configuration(Environment environment) throws CliException {
    try {
      return Optional.of(openLog(environment).read().configuration());
    } catch (LogUnreadableException e) {
      return Optional.empty();
    }
  }
}
