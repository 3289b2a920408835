package io.kumquatspindle.transport.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.json.Json;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("LogSetup")
class LogSetupTests {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();

  @AfterEach
  void restore() {
    LogSetup.defaults().format(LogSetup.Format.TEXT).install();
  }

  private String[] lines() {
    return out.toString(StandardCharsets.UTF_8).split("\n");
  }

  @Test
  @DisplayName("writes one JSON object per line, with the request ids of the open context")
  void writesJson() throws Exception {
    LogSetup.defaults().output(out).install();
    try (LogContext outer = LogContext.of("4bf92f", "r-1")) {
      try (LogContext inner = LogContext.of("", "r-2")) {
        logger.atWarning().log("first \"line\"\nof two");
      }
      logger.atInfo().log("second");
    }
    logger.atInfo().log("third");
    assertEquals(3, lines().length);
    JsonNode first = Json.mapper().readTree(lines()[0]);
    assertEquals("first \"line\"\nof two", first.get("message").asText());
    assertEquals("WARN", first.get("level").asText());
    assertEquals("4bf92f", first.get("trace_id").asText());
    assertEquals("r-2", first.get("request_id").asText());
    assertEquals(LogSetupTests.class.getName(), first.get("logger_name").asText());
    assertEquals("r-1", Json.mapper().readTree(lines()[1]).get("request_id").asText());
    assertFalse(Json.mapper().readTree(lines()[2]).has("request_id"));
  }

  @Test
  @DisplayName("writes text lines at or above the configured level")
  void writesText() {
    LogSetup.defaults().format(LogSetup.Format.TEXT).level("Warn").output(out).install();
    logger.atInfo().log("hidden");
    logger.atWarning().log("shown");
    assertEquals(1, lines().length);
    assertTrue(lines()[0].contains("WARN  [main] LogSetupTests shown"), lines()[0]);
  }

  @Test
  @DisplayName("rejects an unknown level")
  void rejectsUnknownLevel() {
    LogSetup setup = LogSetup.defaults();
    assertThrows(IllegalArgumentException.class, () -> setup.level("loud"));
    assertThrows(IllegalArgumentException.class, () -> setup.level("off"));
  }
}
