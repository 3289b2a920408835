package io.kumquatspindle.control;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.parser.errors.ParseException;
import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.settings.SettingsException;
import io.kumquatspindle.transport.logging.LogSetup;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;

/** Command line of the control program. */
@Command(
    name = "kumquatspindle-control",
    description = "Owns the shared state of an entry VM: configuration, placement, quotas.")
public final class ControlMain {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int OK = 0;
  private static final int FAILED = 1;
  private static final int USAGE = 2;
  // The program continues to run after main has returned.
  private static final int RUNNING = -1;

  @AirlineModule HelpOption<ControlMain> help;

  @Required
  @Option(name = "--settings", description = "settings in INI")
  String settings;

  @Option(name = "--check-settings", description = "check the settings and exit")
  boolean check;

  /** Creates a command whose fields are set by the command line parser. */
  public ControlMain() {}

  /**
   * Starts the program, or checks its settings.
   *
   * @param args command line arguments
   */
  public static void main(String[] args) {
    int status;
    try {
      ControlMain command = SingleCommand.singleCommand(ControlMain.class).parse(args);
      if (command.help.showHelpIfRequested()) {
        System.exit(OK);
      }
      status = command.run();
    } catch (ParseException | SettingsException e) {
      System.err.println(e.getMessage());
      status = USAGE;
    } catch (IOException e) {
      logger.atSevere().withCause(e).log("control program failed to start");
      status = FAILED;
    }
    if (status != RUNNING) {
      System.exit(status);
    }
  }

  private int run() throws SettingsException, IOException {
    ControlSettings s = ControlSettings.load(Path.of(settings));
    if (check) {
      System.out.println(settings + ": settings are valid");
      return OK;
    }
    LogSetup.defaults()
        .format(LogSetup.Format.valueOf(s.logFormat().toUpperCase(Locale.ROOT)))
        .level(s.logLevel())
        .install();
    ControlProgram program = ControlProgram.start(s);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(program), "control-stop"));
    return RUNNING;
  }

  private static void stop(ControlProgram program) {
    int status = OK;
    try {
      program.stop();
      logger.atInfo().log("control program stopped");
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("control program failed to stop cleanly");
      status = FAILED;
    }
    // Without this, the JVM would exit with the status of the signal after a regular stop.
    Runtime.getRuntime().halt(status);
  }
}
