package io.kumquatspindle.api.settings;

import java.io.IOException;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/**
 * Typed, validated access to a settings file in INI format.
 *
 * <p>Invalid values are collected while the settings are read. After the last read, {@link
 * #validate()} reports all of them, together with every key that was not read.
 */
public final class Settings {
  private final String file;
  private final INIConfiguration ini;
  private final Set<String> readKeys = new HashSet<>();
  private final List<String> errors = new ArrayList<>();

  private Settings(String file, INIConfiguration ini) {
    this.file = file;
    this.ini = ini;
  }

  /**
   * Loads a settings file.
   *
   * @param path the file, in UTF-8
   * @return its settings
   * @throws SettingsException if the file cannot be read or is not valid INI
   */
  public static Settings load(Path path) throws SettingsException {
    INIConfiguration ini = new INIConfiguration();
    try (Reader reader = Files.newBufferedReader(path, StandardCharsets.UTF_8)) {
      ini.read(reader);
    } catch (IOException | ConfigurationException e) {
      throw new SettingsException(path + ": cannot read settings: " + e.getMessage());
    }
    return new Settings(path.toString(), ini);
  }

  /**
   * Reads a required string.
   *
   * @param section section name
   * @param key key name
   * @return the string, or an empty string if the key is missing, which is recorded as an error
   */
  public String text(String section, String key) {
    return rawValue(section, key).orElseGet(() -> addMissingKeyError(section, key, "a text", ""));
  }

  /**
   * Reads an optional string.
   *
   * @param section section name
   * @param key key name
   * @param defaultValue value if the key is absent
   * @return the string
   */
  public String text(String section, String key, String defaultValue) {
    return rawValue(section, key).orElse(defaultValue);
  }

  /**
   * Reads a comma-separated list.
   *
   * @param section section name
   * @param key key name
   * @return the elements, without surrounding whitespace; empty if the key is absent
   */
  public List<String> list(String section, String key) {
    return rawValue(section, key).stream()
        .flatMap(s -> Arrays.stream(s.split(",", -1)))
        .map(String::strip)
        .filter(s -> !s.isEmpty())
        .toList();
  }

  /**
   * Reads an integer within a range.
   *
   * @param section section name
   * @param key key name
   * @param defaultValue value if the key is absent
   * @param min minimum value
   * @param max maximum value
   * @return the number
   */
  public long number(String section, String key, long defaultValue, long min, long max) {
    String expected = "a whole number from " + min + " to " + max;
    return parse(
        section,
        key,
        defaultValue,
        expected,
        s -> {
          long n = Long.parseLong(s);
          return n >= min && n <= max ? Optional.of(n) : Optional.empty();
        });
  }

  /**
   * Reads a duration in milliseconds. By convention the key ends in {@code _ms}.
   *
   * @param section section name
   * @param key key name
   * @param defaultValue value if the key is absent
   * @param min minimum value
   * @param max maximum value
   * @return the duration
   */
  public Duration millis(
      String section, String key, Duration defaultValue, Duration min, Duration max) {
    return Duration.ofMillis(
        number(section, key, defaultValue.toMillis(), min.toMillis(), max.toMillis()));
  }

  /**
   * Reads a boolean.
   *
   * @param section section name
   * @param key key name
   * @param defaultValue value if the key is absent
   * @return the value
   */
  public boolean flag(String section, String key, boolean defaultValue) {
    return parse(
        section,
        key,
        defaultValue,
        "true or false",
        s ->
            switch (s) {
              case "true" -> Optional.of(true);
              case "false" -> Optional.of(false);
              default -> Optional.empty();
            });
  }

  /**
   * Reads a required value with a custom parser.
   *
   * @param section section name
   * @param key key name
   * @param expected description of a valid value, for the error message
   * @param parser returns empty or throws {@code IllegalArgumentException} for an invalid value
   * @return the value, or empty if it is missing or invalid, which is recorded as an error
   */
  public <T> Optional<T> value(
      String section, String key, String expected, Function<String, Optional<T>> parser) {
    Optional<String> s = rawValue(section, key);
    if (s.isEmpty()) {
      addMissingKeyError(section, key, expected, "");
      return Optional.empty();
    }
    return Optional.ofNullable(parse(section, key, null, expected, parser));
  }

  /**
   * Records an error that the caller has detected.
   *
   * @param section section name
   * @param key key name
   * @param expected description of a valid value
   */
  public void addError(String section, String key, String expected) {
    errors.add(describe(section, key, rawValue(section, key).orElse(""), expected));
  }

  /**
   * Throws if any error was recorded or the file contains keys that were not read.
   *
   * @throws SettingsException if there are errors; its message has one line per error
   */
  public void validate() throws SettingsException {
    for (String section : ini.getSections()) {
      addUnknownKeyErrors(section);
    }
    if (!errors.isEmpty()) {
      throw new SettingsException(String.join("\n", errors));
    }
  }

  private void addUnknownKeyErrors(String section) {
    SubnodeConfiguration node = ini.getSection(section);
    for (Iterator<String> keys = node.getKeys(); keys.hasNext(); ) {
      String key = keys.next();
      if (!readKeys.contains(section + "/" + key)) {
        String name = section == null ? "(none)" : section;
        errors.add(describe(name, key, String.valueOf(node.getString(key)), "no such key"));
      }
    }
  }

  private <T> T parse(
      String section,
      String key,
      T defaultValue,
      String expected,
      Function<String, Optional<T>> parser) {
    Optional<String> s = rawValue(section, key);
    if (s.isEmpty()) {
      return defaultValue;
    }
    Optional<T> value;
    try {
      value = parser.apply(s.get());
    } catch (IllegalArgumentException e) {
      value = Optional.empty();
    }
    if (value.isEmpty()) {
      errors.add(describe(section, key, s.get(), expected));
    }
    return value.orElse(defaultValue);
  }

  private Optional<String> rawValue(String section, String key) {
    readKeys.add(section + "/" + key);
    if (!ini.getSections().contains(section)) {
      return Optional.empty();
    }
    return Optional.ofNullable(ini.getSection(section).getString(key)).map(String::strip);
  }

  private String addMissingKeyError(String section, String key, String expected, String result) {
    errors.add(describe(section, key, "(absent)", expected));
    return result;
  }

  private String describe(String section, String key, String value, String expected) {
    return file + ": [" + section + "] " + key + " = " + value + ": expected " + expected;
  }
}
