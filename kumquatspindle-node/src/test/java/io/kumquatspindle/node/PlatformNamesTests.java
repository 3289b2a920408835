package io.kumquatspindle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Sources outside the platform modules")
class PlatformNamesTests {
  private static final Pattern WIRE_NAMES =
      Pattern.compile(
          "X-Kumquat"
              + "spindle-|Runner-"
              + "Seal|kv-"
              + "pin|log-"
              + "append|log-"
              + "newest"
              + "|keyed\\.(op|"
              + "servers)|lora_"
              + "slots|expect_"
              + "rev|api_"
              + "keys");

  @Test
  @DisplayName("contain none of the platform's wire names")
  void containNoWireNames() throws IOException {
    List<String> found = new ArrayList<>();
    Path root = Path.of("..").toRealPath();
    try (Stream<Path> modules = Files.list(root)) {
      for (Path module : modules.filter(m -> Files.isDirectory(m.resolve("src"))).toList()) {
        search(root, module.resolve("src"), found);
      }
    }

    assertEquals(List.of(), found);
  }

  @Test
  @DisplayName("would be detected if they contained one")
  void patternFindsWireNames() {
    assertFalse(WIRE_NAMES.matcher("a plain line").find());
    assertEquals(true, WIRE_NAMES.matcher("set(\"X-Kumquat" + "spindle-Model\")").find());
  }

  private static void search(Path root, Path src, List<String> found) throws IOException {
    try (Stream<Path> files = Files.walk(src)) {
      for (Path f : files.filter(p -> p.toString().endsWith(".java")).toList()) {
        if (WIRE_NAMES.matcher(Files.readString(f)).find()) {
          found.add(root.relativize(f).toString());
        }
      }
    }
  }
}
