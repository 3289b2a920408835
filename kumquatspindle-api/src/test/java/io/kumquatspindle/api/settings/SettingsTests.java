package io.kumquatspindle.api.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@DisplayName("Settings")
class SettingsTests {
  @TempDir Path dir;

  private Settings load(String text) throws IOException, SettingsException {
    Path file = dir.resolve("x.ini");
    Files.writeString(file, text);
    return Settings.load(file);
  }

  @Nested
  @DisplayName("when all values are valid")
  class Valid {

    @Test
    @DisplayName("returns values, defaults and lists")
    void readsValues() throws Exception {
      Settings s = load("[vm]\nid = vm-1\n[peers]\nseed_addresses = a:1, b:2\n");
      assertEquals("vm-1", s.text("vm", "id"));
      assertEquals(7, s.number("vm", "port", 7, 1, 9));
      assertEquals(List.of("a:1", "b:2"), s.list("peers", "seed_addresses"));
      s.validate();
    }
  }

  @Nested
  @DisplayName("when the file contains errors")
  class Invalid {

    @Test
    @DisplayName(
        "reports all errors together, each with file, section, key, value and expected value")
    void reportsEveryError() throws Exception {
      Settings s = load("[vm]\nport = many\n");
      s.number("vm", "port", 7, 1, 9);
      s.text("vm", "id");
      SettingsException e = assertThrows(SettingsException.class, s::validate);
      String[] lines = e.getMessage().split("\n", -1);
      assertEquals(2, lines.length);
      String file = dir.resolve("x.ini").toString();
      assertEquals(file + ": [vm] port = many: expected a whole number from 1 to 9", lines[0]);
      assertEquals(file + ": [vm] id = (absent): expected a text", lines[1]);
    }

    @Test
    @DisplayName("rejects a key that is never read, which may be a typing error")
    void rejectsUnknownKey() throws Exception {
      Settings s = load("[vm]\nprot = 7\n");
      s.number("vm", "port", 7, 1, 9);
      SettingsException e = assertThrows(SettingsException.class, s::validate);
      assertEquals(dir.resolve("x.ini") + ": [vm] prot = 7: expected no such key", e.getMessage());
    }
  }
}
