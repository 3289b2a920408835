package io.kumquatspindle.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.settings.SettingsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@DisplayName("Stand-ins")
class StandInsTests {
  @TempDir Path dir;

  @Test
  @DisplayName("serve hundreds of endpoints with a shared pool of threads")
  void sharesThreads() throws Exception {
    int before = Thread.activeCount();
    String names = IntStream.range(0, 300).mapToObj(i -> "e" + i).collect(Collectors.joining(", "));
    String ini = "[store]\nlisten = 127.0.0.1:0\n[engines]\nnames = " + names + "\n";
    try (TestStandIns s = new TestStandIns(dir, ini)) {
      for (int i = 0; i < 300; i++) {
        assertEquals("e" + i, s.get("e" + i, "/report").path("endpoint").asText());
      }
      int added = Thread.activeCount() - before;
      assertTrue(added < 50, "threads added: " + added);
    }
  }

  @Test
  @DisplayName("read the example settings file")
  void readsExample() throws Exception {
    Path example = Path.of("..", "examples", "settings", "standins.ini");
    assertEquals(2, StandInsSettings.load(example).engines.size());
  }

  @Test
  @DisplayName("reject invalid settings, naming section and key")
  void refusesFaultySettings() throws Exception {
    Path file = dir.resolve("x.ini");
    Files.writeString(
        file, "[log]\nlisten = 0.0.0.0:1\n[engines]\nnames = e\n[vm_list]\nvms = a@b\nx = 1\n");
    SettingsException e = assertThrows(SettingsException.class, () -> StandInsSettings.load(file));
    String[] expected = {"[log] listen", "[engines] store_url", "[vm_list] vms", "[vm_list] x"};
    for (String key : expected) {
      assertTrue(e.getMessage().contains(key), e.getMessage());
    }
  }
}
