package io.kumquatspindle.cli;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import io.kumquatspindle.api.json.Json;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Options that commands share. */
abstract class BaseCommand implements CliCommand {
  private static final String DEFAULT_SETTINGS = "kumquatspindle.ini";

  @Option(
      name = "--settings",
      title = "file",
      description =
          "INI file with [log] url and [controls] admin_addresses (default: kumquatspindle.ini)")
  private String settings;

  @Option(
      name = "--output",
      title = "format",
      description = "Form of the answer: text or json (default: text)")
  @AllowedRawValues(allowedValues = {"text", "json"})
  private String output = "text";

  /** Tells whether there are settings: given by name, or in the default file. */
  final boolean hasSettings() {
    return settings != null || Files.exists(Path.of(DEFAULT_SETTINGS));
  }

  final CliSettings loadSettings() throws CliException {
    return CliSettings.load(Path.of(settings == null ? DEFAULT_SETTINGS : settings));
  }

  final TicketLog openLog(Environment environment) throws CliException {
    return new TicketLog(environment.logs().connect(loadSettings().logUrl()));
  }

  final FleetProbe openFleet(Environment environment) throws CliException {
    CliSettings s = loadSettings();
    if (s.adminAddresses().isEmpty()) {
      throw new CliException(
          ExitStatus.USAGE, "the settings have no [controls] admin_addresses, which are needed");
    }
    return new FleetProbe(environment.admin(), s.adminAddresses());
  }

  /** Prints an answer in the form that was asked for. */
  final void print(Environment environment, String text, Object value) throws CliException {
    if (output.equals("text")) {
      environment.out().print(text);
      return;
    }
    try {
      environment
          .out()
          .println(Json.mapper().writerWithDefaultPrettyPrinter().writeValueAsString(value));
    } catch (IOException e) {
      throw new CliException(ExitStatus.USAGE, "cannot write the answer: " + e.getMessage());
    }
  }

  static byte[] readFile(String name) throws CliException {
    try {
      return Files.readAllBytes(Path.of(name));
    } catch (IOException e) {
      throw new CliException(ExitStatus.USAGE, "cannot read " + name + ": " + e.getMessage());
    }
  }
}
