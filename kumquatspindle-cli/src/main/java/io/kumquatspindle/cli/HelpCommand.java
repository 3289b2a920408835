package io.kumquatspindle.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import java.util.ArrayList;
import java.util.List;

@Command(name = "help", description = "Shows help for a command")
@Examples(
    examples = "kumquatspindle help ticket file",
    descriptions = "Shows the options of the command that files a ticket")
final class HelpCommand implements CliCommand {
  @Arguments(title = "command", description = "Name of the command")
  private List<String> commandPath = new ArrayList<>();

  List<String> commandPath() {
    return commandPath;
  }

  @Override
  public ExitStatus execute(Environment environment) {
    throw new IllegalStateException("CliProgram prints help without executing this command");
  }
}
