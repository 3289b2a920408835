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
 * A settings file in INI that is read with checks.
 *
 * <p>Each read names a section and a key. After the last read, {@link #finish()} reports every
 * faulty value and every key that nothing has read.
 */
public final class Settings {
  private final String file;
  private final INIConfiguration ini;
  private final Set<String> read = new HashSet<>();
  private final List<String> faults = new ArrayList<>();

  private Settings(String file, INIConfiguration ini) {
    this.file = file;
    this.ini = ini;
  }

  /**
   * Reads a settings file.
   *
   * @param path the file, in UTF-8
   * @return its settings
   * @throws SettingsException if the file cannot be read or is not INI
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
   * Reads a text that must be present.
   *
   * @param section section name
   * @param key key name
   * @return the text, or an empty text after a fault has been noted
   */
  public String text(String section, String key) {
    return raw(section, key).orElseGet(() -> missing(section, key, "a text", ""));
  }

  /**
   * Reads a text.
   *
   * @param section section name
   * @param key key name
   * @param standard value if the key is absent
   * @return the text
   */
  public String text(String section, String key, String standard) {
    return raw(section, key).orElse(standard);
  }

  /**
   * Reads a comma-separated list.
   *
   * @param section section name
   * @param key key name
   * @return its elements, without surrounding white space; empty if the key is absent
   */
  public List<String> list(String section, String key) {
    return raw(section, key).stream()
        .flatMap(s -> Arrays.stream(s.split(",", -1)))
        .map(String::strip)
        .filter(s -> !s.isEmpty())
        .toList();
  }

  /**
   * Reads a whole number in a range.
   *
   * @param section section name
   * @param key key name
   * @param standard value if the key is absent
   * @param min least allowed value
   * @param max greatest allowed value
   * @return the number
   */
  public long number(String section, String key, long standard, long min, long max) {
    String expected = "a whole number from " + min + " to " + max;
    return parse(
        section,
        key,
        standard,
        expected,
        s -> {
          long n = Long.parseLong(s);
          return n >= min && n <= max ? Optional.of(n) : Optional.empty();
        });
  }

  /**
   * Reads a duration in whole milliseconds; the key's name ends in {@code _ms}.
   *
   * @param section section name
   * @param key key name
   * @param standard value if the key is absent
   * @param min least allowed value
   * @param max greatest allowed value
   * @return the duration
   */
  public Duration millis(
      String section, String key, Duration standard, Duration min, Duration max) {
    return Duration.ofMillis(
        number(section, key, standard.toMillis(), min.toMillis(), max.toMillis()));
  }

  /**
   * Reads a switch.
   *
   * @param section section name
   * @param key key name
   * @param standard value if the key is absent
   * @return whether it is on
   */
  public boolean flag(String section, String key, boolean standard) {
    return parse(
        section,
        key,
        standard,
        "true or false",
        s ->
            switch (s) {
              case "true" -> Optional.of(true);
              case "false" -> Optional.of(false);
              default -> Optional.empty();
            });
  }

  /**
   * Reads a value that must be present, with a parser of its own.
   *
   * @param section section name
   * @param key key name
   * @param expected what a valid value looks like, for the error message
   * @param parser returns empty or throws {@code IllegalArgumentException} for an invalid value
   * @return the value, or empty after a fault has been noted
   */
  public <T> Optional<T> value(
      String section, String key, String expected, Function<String, Optional<T>> parser) {
    Optional<String> s = raw(section, key);
    if (s.isEmpty()) {
      missing(section, key, expected, "");
      return Optional.empty();
    }
    return Optional.ofNullable(parse(section, key, null, expected, parser));
  }

  /**
   * Notes a fault that a caller found by a check of its own.
   *
   * @param section section name
   * @param key key name
   * @param expected what a valid value looks like
   */
  public void fault(String section, String key, String expected) {
    faults.add(describe(section, key, raw(section, key).orElse(""), expected));
  }

  /**
   * Ends the reading.
   *
   * @throws SettingsException if a value was faulty or a key is unknown; its message has one line
   *     for each fault
   */
  public void finish() throws SettingsException {
    for (String section : ini.getSections()) {
      noteUnknownKeys(section);
    }
    if (!faults.isEmpty()) {
      throw new SettingsException(String.join("\n", faults));
    }
  }

  private void noteUnknownKeys(String section) {
    SubnodeConfiguration node = ini.getSection(section);
    for (Iterator<String> keys = node.getKeys(); keys.hasNext(); ) {
      String key = keys.next();
      if (!read.contains(section + "/" + key)) {
        String name = section == null ? "(none)" : section;
        faults.add(describe(name, key, String.valueOf(node.getString(key)), "no such key"));
      }
    }
  }

  private <T> T parse(
      String section,
      String key,
      T standard,
      String expected,
      Function<String, Optional<T>> parser) {
    Optional<String> s = raw(section, key);
    if (s.isEmpty()) {
      return standard;
    }
    Optional<T> value;
    try {
      value = parser.apply(s.get());
    } catch (IllegalArgumentException e) {
      value = Optional.empty();
    }
    if (value.isEmpty()) {
      faults.add(describe(section, key, s.get(), expected));
    }
    return value.orElse(standard);
  }

  private Optional<String> raw(String section, String key) {
    read.add(section + "/" + key);
    if (!ini.getSections().contains(section)) {
      return Optional.empty();
    }
    return Optional.ofNullable(ini.getSection(section).getString(key)).map(String::strip);
  }

  private String missing(String section, String key, String expected, String result) {
    faults.add(describe(section, key, "(absent)", expected));
    return result;
  }

  private String describe(String section, String key, String value, String expected) {
    return file + ": [" + section + "] " + key + " = " + value + ": expected " + expected;
  }
}
