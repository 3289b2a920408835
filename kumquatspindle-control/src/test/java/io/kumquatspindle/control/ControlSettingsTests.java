package io.kumquatspindle.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.settings.SettingsException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@DisplayName("ControlSettings")
class ControlSettingsTests {
  private static final Path EXAMPLE = Path.of("..", "examples", "settings", "control.ini");

  @TempDir Path dir;

  @Test
  @DisplayName("accept the example file, so that it cannot become outdated unnoticed")
  void acceptsExample() throws Exception {
    ControlSettings s = ControlSettings.load(EXAMPLE);
    assertEquals("127.0.0.1:7001", s.advertisedAddress());
    assertEquals(2, s.seedAddresses().size());
  }

  @Test
  @DisplayName("report all invalid values at once, including a host name instead of an IP address")
  void namesFaults() throws Exception {
    String text = Files.readString(EXAMPLE).replace("peers = 127.0.0.1", "peers = localhost");
    Path file = Files.writeString(dir.resolve("c.ini"), text.replace("id = vm-1", "id = a b"));
    SettingsException e = assertThrows(SettingsException.class, () -> ControlSettings.load(file));
    assertTrue(e.getMessage().contains("[listen] peers = localhost:7001: expected an IP address"));
    assertTrue(e.getMessage().contains("[vm] id = a b: expected a VM name"));
  }
}
