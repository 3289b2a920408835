package io.kumquatspindle.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.kumquatspindle.api.admin.ExplainPage;
import io.kumquatspindle.cli.AdminClient.PageResult;

@Command(
    name = "explain",
    description = "Shows the replicas of a model or adapter and the reasons for their state")
@Examples(
    examples = "kumquatspindle explain notice-draft",
    descriptions = "Shows where the model is loaded and what it is waiting for")
final class ExplainCommand extends BaseCommand {
  @Required
  @Arguments(title = "model", description = "Name of a model or adapter")
  private String model;

  @Override
  public ExitStatus execute(Environment environment) throws CliException {
    FleetProbe fleet = openFleet(environment);
    StringBuilder problems = new StringBuilder();
    for (String address : fleet.addresses()) {
      PageResult<ExplainPage> result = fleet.admin().explain(address, model);
      if (result.page().isPresent()) {
        print(environment, text(address, result.page().get()), result.page().get());
        return ExitStatus.DONE;
      }
      problems.append("\nno answer from control ").append(address).append(": ");
      problems.append(result.problem());
    }
    throw new CliException(ExitStatus.UNREACHABLE, "no control answered" + problems);
  }

  private static String text(String address, ExplainPage page) {
    StringBuilder s = new StringBuilder(page.model());
    s.append(page.known() ? "" : " is not in the configuration").append(", according to control ");
    s.append(address).append('\n');
    for (ExplainPage.ReplicaStatus r : page.replicas()) {
      s.append("  replica at ").append(r.endpoint()).append(": ").append(r.state());
      if (r.expectedReadyMs() > 0) {
        s.append(", expected ready in ").append(TextFormatter.formatDuration(r.expectedReadyMs()));
      }
      s.append('\n');
    }
    page.pending().forEach(p -> s.append("  pending: ").append(p).append('\n'));
    if (page.reason() != null && !page.reason().isEmpty()) {
      s.append("  reason: ").append(page.reason()).append('\n');
    }
    return s.toString();
  }
}
