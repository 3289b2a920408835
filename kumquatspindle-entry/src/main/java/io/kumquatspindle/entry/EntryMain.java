package io.kumquatspindle.entry;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.settings.SettingsException;
import io.kumquatspindle.transport.logging.LogSetup;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Command line of the entry program. */
public final class EntryMain {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int OK = 0;
  private static final int USAGE = 2;
  private static final String HELP =
      """
      Usage: kumquatspindle-entry --settings FILE [--check-settings]

        --settings FILE    settings in INI, see examples/settings/entry.ini
        --check-settings   check the settings and exit
        --help             print this text and exit
      """;

  private record Arguments(Optional<Path> settings, boolean check, boolean help) {}

  private EntryMain() {}

  /**
   * Starts the program, or only checks its settings.
   *
   * @param args command line arguments
   */
  public static void main(String[] args) {
    Optional<EntrySettings> settings = Optional.empty();
    int status = OK;
    try {
      Arguments arguments = parse(List.of(args));
      if (arguments.help()) {
        System.out.print(HELP);
      } else {
        settings = Optional.of(load(arguments, System.out));
      }
      settings = arguments.check() ? Optional.empty() : settings;
    } catch (IllegalArgumentException | SettingsException e) {
      System.err.println(e.getMessage());
      status = USAGE;
    }
    if (settings.isEmpty()) {
      System.exit(status);
    }
    run(settings.get());
  }

  private static EntrySettings load(Arguments arguments, PrintStream out) throws SettingsException {
    Path file =
        arguments
            .settings()
            .orElseThrow(() -> new IllegalArgumentException("--settings FILE is missing\n" + HELP));
    EntrySettings settings = EntrySettings.load(file);
    if (arguments.check()) {
      out.println(file + ": settings are valid");
    }
    return settings;
  }

  private static Arguments parse(List<String> args) {
    Optional<Path> settings = Optional.empty();
    boolean check = false;
    boolean help = false;
    for (int i = 0; i < args.size(); i++) {
      switch (args.get(i)) {
        case "--settings" -> {
          i++;
          if (i == args.size()) {
            throw new IllegalArgumentException("--settings needs a file");
          }
          settings = Optional.of(Path.of(args.get(i)));
        }
        case "--check-settings" -> check = true;
        case "--help" -> help = true;
        default -> throw new IllegalArgumentException("unknown argument: " + args.get(i));
      }
    }
    return new Arguments(settings, check, help);
  }

  private static void run(EntrySettings settings) {
    LogSetup.defaults()
        .format(LogSetup.Format.valueOf(settings.log().format().toUpperCase(Locale.ROOT)))
        .level(settings.log().level().toUpperCase(Locale.ROOT))
        .install();
    EntryProgram program = EntryProgram.start(settings);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(program), "entry-stop"));
  }

  private static void stop(EntryProgram program) {
    int status = OK;
    try {
      program.stop();
      logger.atInfo().log("stopped");
    } catch (InterruptedException | RuntimeException e) {
      logger.atSevere().withCause(e).log("shutdown failed");
      status = 1;
    }
    // Without halt, the JVM would exit with the signal's status even after a clean shutdown.
    Runtime.getRuntime().halt(status);
  }
}
