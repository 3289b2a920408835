package io.kumquatspindle.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import io.kumquatspindle.api.config.Configuration;
import java.util.Optional;

@Command(
    name = "status",
    description =
        "Shows the VMs of each failure domain, the last ticket in force and the grace period left")
@Examples(
    examples = "kumquatspindle status --settings site-kenya.ini",
    descriptions = "Shows the fleet of the site that the settings describe")
final class StatusCommand extends BaseCommand {

  /**
   * The JSON output of the command.
   *
   * @param fleet the state of the fleet according to the controls
   * @param grace offline grace periods of keys
   */
  record StatusResult(FleetView fleet, GracePeriod grace) {}

  @Override
  public ExitStatus execute(Environment environment) throws CliException {
    FleetView view = openFleet(environment).queryAll();
    GracePeriod grace = GracePeriod.of(configuration(environment));
    print(environment, FleetFormatter.format(view, grace), new StatusResult(view, grace));
    return view.noControlAnswered() ? ExitStatus.UNREACHABLE : ExitStatus.DONE;
  }

  private Optional<Configuration> configuration(Environment environment) throws CliException {
    try {
      return Optional.of(openLog(environment).read().configuration());
    } catch (LogUnreadableException e) {
      return Optional.empty();
    }
  }
}
