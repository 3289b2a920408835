package io.kumquatspindle.cli;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import io.kumquatspindle.api.json.Json;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Base class of commands, with the options and helpers that they share. */
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
      description = "Output format: text or json (default: text)")
  @AllowedRawValues(allowedValues = {"text", "json"})
  private String output = "text";

  /** Returns whether a settings file was given as an option or exists under the default name. */
  final boolean hasSettings() {
    return settings != null || Files.exists(Path.of(DEFAULT_SETTINGS));
  }

  final CliSettings loadSettings() throws CliException {
    return CliSettings.load(Path.of(settings == null ? DEFAULT_SETTINGS : settings));
  }

  final TicketLog openLog(Environment environment) throws CliException {
    return new TicketLog(environment.logs().create(loadSettings().logUrl()));
  }

  final FleetProbe openFleet(Environment environment) throws CliException {
    CliSettings cliSettings = loadSettings();
    if (cliSettings.adminAddresses().isEmpty()) {
      throw new CliException(
          ExitStatus.USAGE,
          "this command requires the setting [controls] admin_addresses, which is missing");
    }
    return new FleetProbe(environment.admin(), cliSettings.adminAddresses());
  }

  /** Prints the result of the command in the requested output format. */
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
      throw new CliException(
          ExitStatus.USAGE, "cannot write the result as JSON: " + e.getMessage());
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
