package io.kumquatspindle.cli;

import io.kumquatspindle.api.settings.Settings;
import io.kumquatspindle.api.settings.SettingsException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import okhttp3.HttpUrl;

/**
 * Settings of the command-line tool, read from an INI file.
 *
 * @param logUrl base URL of the log service
 * @param adminAddresses IP address and port of the admin pages of each control
 */
record CliSettings(String logUrl, List<String> adminAddresses) {
  private static final String IP_PORT = "(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:.]+\\]):\\d{1,5}";
  private static final Pattern ADDRESS = Pattern.compile(IP_PORT);
  private static final Pattern URL = Pattern.compile("http://" + IP_PORT + "/?");

  static CliSettings load(Path file) throws CliException {
    try {
      Settings s = Settings.load(file);
      Optional<String> url =
          s.value(
              "log",
              "url",
              "http://, an IP address and a port",
              v ->
                  Optional.of(v).filter(u -> URL.matcher(u).matches() && HttpUrl.parse(u) != null));
      List<String> addresses = s.list("controls", "admin_addresses");
      if (!addresses.stream().allMatch(CliSettings::isAddress)) {
        s.addError("controls", "admin_addresses", "a list of IP addresses with ports");
      }
      s.validate();
      return new CliSettings(url.orElseThrow(), addresses);
    } catch (SettingsException e) {
      throw new CliException(ExitStatus.USAGE, e.getMessage());
    }
  }

  // The pattern rejects host names; HttpUrl checks the ranges of address and port numbers.
  private static boolean isAddress(String text) {
    return ADDRESS.matcher(text).matches() && HttpUrl.parse("http://" + text + "/") != null;
  }
}
