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
  @Arguments(title = "command", description = "Words of the command")
  private List<String> words = new ArrayList<>();

  List<String> words() {
    return words;
  }

  @Override
  public ExitStatus execute(Environment environment) {
    throw new IllegalStateException("help is shown by the program");
  }
}
