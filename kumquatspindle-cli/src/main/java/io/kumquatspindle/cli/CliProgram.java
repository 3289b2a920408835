package io.kumquatspindle.cli;

import com.github.rvesse.airline.CommandFactory;
import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.annotations.Group;
import com.github.rvesse.airline.builder.ParserBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.GlobalMetadata;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;

/** Parses a command line and runs its command. */
@Cli(
    name = "kumquatspindle",
    description = "Files change tickets and shows the state of the fleet",
    defaultCommand = HelpCommand.class,
    commands = {StatusCommand.class, ExplainCommand.class, HelpCommand.class},
    groups = {
      @Group(
          name = "ticket",
          description = "Checks, files and tracks change tickets",
          defaultCommand = HelpCommand.class,
          commands = {
            TicketCheckCommand.class,
            TicketNewCommand.class,
            TicketFileCommand.class,
            TicketStatusCommand.class,
            TicketListCommand.class
          }),
      @Group(
          name = "key",
          description = "Hashes callers' keys for use in tickets",
          defaultCommand = HelpCommand.class,
          commands = {KeyHashCommand.class})
    })
final class CliProgram {
  private final Environment environment;

  CliProgram(Environment environment) {
    this.environment = environment;
  }

  ExitStatus run(String... args) {
    com.github.rvesse.airline.Cli<CliCommand> cli =
        new com.github.rvesse.airline.Cli<>(
            CliProgram.class,
            new ParserBuilder<CliCommand>()
                .withCommandFactory(
                    new CommandFactory<CliCommand>() {
                      @Override
                      public CliCommand createInstance(Class<?> type) {
                        return newCommand(type);
                      }
                    })
                .build());
    List<String> arguments = Arrays.asList(args);
    if (arguments.contains("--help") || arguments.contains("-h")) {
      return printHelp(
          cli.getMetadata(), arguments.stream().takeWhile(w -> !w.startsWith("-")).toList());
    }
    try {
      CliCommand command = cli.parse(args);
      if (command instanceof HelpCommand h) {
        if (!h.commandPath().isEmpty() && !arguments.get(0).equals("help")) {
          return fail(
              ExitStatus.USAGE,
              "no such command: " + String.join(" ", arguments) + "\nSee: kumquatspindle help");
        }
        return printHelp(cli.getMetadata(), h.commandPath());
      }
      return command.execute(environment);
    } catch (ParseException e) {
      return fail(ExitStatus.USAGE, e.getMessage() + "\nSee: kumquatspindle help");
    } catch (CliException e) {
      return fail(e.status(), e.getMessage());
    }
  }

  // Airline's default factory instantiates only public classes; the commands are package-private.
  private static CliCommand newCommand(Class<?> type) {
    try {
      return (CliCommand) type.getDeclaredConstructor().newInstance();
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(
          "cannot call the no-argument constructor of " + type.getName(), e);
    }
  }

  private ExitStatus fail(ExitStatus status, String message) {
    environment.err().println("kumquatspindle: " + message);
    return status;
  }

  private ExitStatus printHelp(GlobalMetadata<CliCommand> metadata, List<String> commandPath) {
    try {
      Help.help(metadata, commandPath, environment.out());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    // Airline ends the help of a command with an empty line, but not the overview.
    environment.out().println(commandPath.isEmpty() ? "\nEXIT CODES" : "EXIT CODES");
    for (ExitStatus s : ExitStatus.values()) {
      environment.out().println("        " + s.code() + "   " + s.description());
    }
    return ExitStatus.DONE;
  }
}
