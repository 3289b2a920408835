package io.kumquatspindle.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import io.kumquatspindle.api.config.Removals;
import io.kumquatspindle.api.config.Ticket;
import io.kumquatspindle.api.json.Json;
import java.util.List;
import java.util.Optional;

@Command(name = "new", description = "Prints an empty ticket with the next number, as JSON")
@Examples(
    examples = "kumquatspindle ticket new --author ann > ticket.json",
    descriptions = "Writes an empty ticket to a file")
final class TicketNewCommand extends BaseCommand {
  @Option(
      name = "--author",
      title = "name",
      description = "Author of the ticket (default: the user's name)")
  private String author;

  @Override
  public ExitStatus execute(Environment environment) throws CliException {
    TicketHistory history = openLog(environment).readOrFail();
    Ticket ticket =
        new Ticket(
            history.nextNumber(),
            null,
            author == null ? System.getProperty("user.name", "") : author,
            "",
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            Optional.empty(),
            Removals.NONE);
    // Both output formats are JSON; the text format is meant for editing.
    String text = Json.mapper().valueToTree(ticket).toPrettyString() + "\n";
    print(environment, text, ticket);
    return ExitStatus.DONE;
  }
}
