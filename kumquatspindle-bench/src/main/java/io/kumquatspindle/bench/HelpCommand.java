package io.kumquatspindle.bench;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.GlobalMetadata;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

/** Prints help on the program or on one command. */
@Command(name = "help", description = "Prints help about the program or a command")
public final class HelpCommand implements Callable<Integer> {
  private static final int EXIT_USAGE = 2;

  @AirlineModule private GlobalMetadata<Object> global;

  @Arguments(description = "Name of a command")
  private List<String> names = new ArrayList<>();

  /** Instantiated by Airline. */
  public HelpCommand() {}

  @Override
  public Integer call() throws IOException {
    Help.help(global, names);
    // The parser also selects this command when the given command name is unknown.
    return names.isEmpty() || isCommand(names.get(0)) ? 0 : EXIT_USAGE;
  }

  private boolean isCommand(String name) {
    return global.getDefaultGroupCommands().stream().anyMatch(c -> c.getName().equals(name));
  }
}
