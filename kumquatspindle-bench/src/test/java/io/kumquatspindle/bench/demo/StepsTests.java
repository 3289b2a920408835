package io.kumquatspindle.bench.demo;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Demo steps")
class StepsTests {

  @Test
  @DisplayName("print OK or FAILED for each step; one failure or exception fails the run")
  void printsOutcomes() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    Steps steps = new Steps(new PrintStream(out, true, StandardCharsets.UTF_8));
    steps.run("first", () -> Steps.Outcome.ok("5 ms"));
    steps.run("second", () -> Steps.Outcome.failed(""));
    steps.run(
        "third",
        () -> {
          throw new IOException("no connection");
        });
    assertFalse(steps.summarize());
    String expected =
        "OK      first: 5 ms\nFAILED  second\nFAILED  third: no connection\n"
            + "1 steps OK, 2 FAILED\n";
    assertEquals(expected, out.toString(StandardCharsets.UTF_8).replace("\r", ""));
  }
}
