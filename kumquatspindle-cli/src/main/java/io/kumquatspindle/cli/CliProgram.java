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
          description = "Checks, files and follows change tickets",
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
          description = "Prepares callers' keys for tickets",
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
    List<String> words = Arrays.asList(args);
    if (words.contains("--help") || words.contains("-h")) {
      return help(cli.getMetadata(), words.stream().takeWhile(w -> !w.startsWith("-")).toList());
    }
    try {
      CliCommand command = cli.parse(args);
      if (command instanceof HelpCommand h) {
        if (!h.words().isEmpty() && !words.get(0).equals("help")) {
          return fail(
              ExitStatus.USAGE,
              "no such command: " + String.join(" ", words) + "\nSee: kumquatspindle help");
        }
        return help(cli.getMetadata(), h.words());
      }
      return command.execute(environment);
    } catch (ParseException e) {
      return fail(ExitStatus.USAGE, e.getMessage() + "\nSee: kumquatspindle help");
    } catch (CliException e) {
      return fail(e.status(), e.getMessage());
    }
  }

  // Airline itself creates instances of public classes only.
  private static CliCommand newCommand(Class<?> type) {
    try {
      return (CliCommand) type.getDeclaredConstructor().newInstance();
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("no constructor without parameters: " + type.getName(), e);
    }
  }

  private ExitStatus fail(ExitStatus status, String message) {
    environment.err().println("kumquatspindle: " + message);
    return status;
  }

  private ExitStatus help(GlobalMetadata<CliCommand> metadata, List<String> words) {
    try {
      Help.help(metadata, words, environment.out());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    // Help for a command ends with an empty line, the overview does not.
    environment.out().println(words.isEmpty() ? "\nEXIT CODES" : "EXIT CODES");
    for (ExitStatus s : ExitStatus.values()) {
      environment.out().println("        " + s.code() + "   " + s.description());
    }
    return ExitStatus.DONE;
  }
}
