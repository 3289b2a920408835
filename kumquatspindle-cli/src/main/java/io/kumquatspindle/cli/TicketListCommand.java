package io.kumquatspindle.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import io.kumquatspindle.api.config.Ticket;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

@Command(
    name = "list",
    description = "Lists the tickets in the log, including those that had no effect")
@Examples(
    examples = "kumquatspindle ticket list --output json",
    descriptions = "Prints the tickets as JSON")
final class TicketListCommand extends BaseCommand {

  /**
   * A row of the list.
   *
   * @param offset offset of the record
   * @param time when the record was appended
   * @param number number of the ticket, 0 if the record is not a ticket
   * @param author author of the ticket, {@code -} if the record is not a ticket
   * @param accepted whether the ticket took effect
   * @param text the comment of an accepted ticket, or why the record was ignored
   */
  record ListedTicket(
      long offset, String time, long number, String author, boolean accepted, String text) {
    static ListedTicket of(TicketHistory.Entry e) {
      String comment = e.ticket().map(Ticket::comment).orElse("");
      return new ListedTicket(
          e.offset(),
          Instant.ofEpochMilli(e.timeMs()).toString(),
          e.ticket().map(Ticket::number).orElse(0L),
          e.ticket().map(Ticket::author).orElse("-"),
          e.accepted(),
          e.accepted() ? comment : e.reason());
    }
  }

  @Override
  public ExitStatus execute(Environment environment) throws CliException {
    List<ListedTicket> tickets =
        openLog(environment).readOrFail().entries().stream().map(ListedTicket::of).toList();
    List<List<String>> rows = new ArrayList<>();
    rows.add(List.of("OFFSET", "TIME", "NUMBER", "AUTHOR", "STATE", "TEXT"));
    for (ListedTicket t : tickets) {
      rows.add(
          List.of(
              String.valueOf(t.offset()),
              t.time(),
              String.valueOf(t.number()),
              t.author(),
              t.accepted() ? "accepted" : "ignored",
              t.text()));
    }
    print(environment, TextFormatter.formatTable(rows), tickets);
    return ExitStatus.DONE;
  }
}
