package io.kumquatspindle.standins;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.settings.SettingsException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

/** Runs stand-ins of the platform and of endpoints until the process is terminated. */
@Command(
    name = "kumquatspindle-standins",
    description = "Runs stand-ins of the platform and of endpoints, for tests and the demo")
public final class StandInsMain {
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_FAILED = 1;

  @AirlineModule private HelpOption<StandInsMain> help;

  @Option(name = "--settings", title = "FILE", description = "Settings file (INI)")
  @Required
  private String settings = "";

  @Option(name = "--check-settings", description = "Checks the settings and exits")
  private boolean checkSettings;

  /** Creates the command. Called by Airline. */
  public StandInsMain() {}

  /**
   * Runs the program.
   *
   * @param args command line arguments
   */
  public static void main(String[] args) {
    int code;
    try {
      code = SingleCommand.singleCommand(StandInsMain.class).parse(args).run();
    } catch (ParseException e) {
      System.err.println(e.getMessage());
      code = EXIT_USAGE;
    }
    System.exit(code);
  }

  private int run() {
    if (help != null && help.showHelpIfRequested()) {
      return 0;
    }
    try {
      if (checkSettings) {
        StandInsSettings.load(Path.of(settings));
        return 0;
      }
      StandIns standIns = StandIns.start(Path.of(settings));
      Runtime.getRuntime().addShutdownHook(new Thread(StandInsMain::stop, "shutdown"));
      printReady(standIns);
      new CountDownLatch(1).await();
      return 0;
    } catch (SettingsException e) {
      System.err.println(e.getMessage());
      return EXIT_USAGE;
    } catch (IOException e) {
      System.err.println("kumquatspindle-standins: " + e.getMessage());
      return EXIT_FAILED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return EXIT_FAILED;
    }
  }

  private static void stop() {
    Runtime.getRuntime().halt(0); // Otherwise the JVM exits with status 143 on SIGTERM.
  }

  private static void printReady(StandIns standIns) {
    Map<String, Object> line = new LinkedHashMap<>();
    line.put("ready", true);
    line.put("ports", standIns.ports());
    System.out.println(new String(Json.encode(line), StandardCharsets.UTF_8));
    System.out.flush();
  }
}
