package io.kumquatspindle.bench.processes;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/** Builds a settings file in INI format. */
final class IniBuilder {
  private final Map<String, Map<String, String>> sections = new LinkedHashMap<>();

  IniBuilder set(String section, String key, Object value) {
    sections.computeIfAbsent(section, s -> new LinkedHashMap<>()).put(key, value.toString());
    return this;
  }

  IniBuilder setAll(Map<String, String> values) {
    values.forEach(
        (name, value) -> {
          int dot = name.lastIndexOf('.');
          set(name.substring(0, dot), name.substring(dot + 1), value);
        });
    return this;
  }

  Path write(Path file) throws IOException {
    return Files.writeString(file, toString());
  }

  @Override
  public String toString() {
    StringBuilder s = new StringBuilder();
    sections.forEach(
        (section, keys) -> {
          s.append('[').append(section).append("]\n");
          keys.forEach((k, v) -> s.append(k).append(" = ").append(v).append('\n'));
        });
    return s.toString();
  }
}
