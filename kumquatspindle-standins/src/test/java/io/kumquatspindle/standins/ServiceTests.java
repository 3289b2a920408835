package io.kumquatspindle.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@DisplayName("Plain service")
class ServiceTests {
  @TempDir Path dir;
  private TestStandIns standIns;

  @BeforeEach
  void start() throws Exception {
    standIns = new TestStandIns(dir, "[services]\nnames = d1\n");
  }

  @AfterEach
  void stop() {
    standIns.close();
  }

  @Test
  @DisplayName("counts executions of a call, whether the id is in a header, the query or the body")
  void countsExecutions() throws Exception {
    standIns.send("d1", "POST", "/book", "{}", "x-call-id", "c1", "idempotency-key", "k1");
    standIns.send("d1", "PUT", "/book?call_id=c1", "not JSON");
    standIns.send("d1", "PATCH", "/book", "{\"call_id\":\"c1\"}");
    JsonNode page = standIns.get("d1", "/history");
    assertEquals(3, page.path("executions").path("c1").asInt());
    assertEquals("k1", page.path("calls").get(0).path("idempotencyKey").asText());
    assertEquals("not JSON", page.path("calls").get(1).path("body").asText());
  }

  @Test
  @DisplayName("closes the connection after a call was executed")
  void breaksAfterExecuting() throws Exception {
    standIns.faults("d1", "{\"breakAfterExecuting\":true,\"remaining\":1}");
    assertThrows(
        IOException.class, () -> standIns.send("d1", "POST", "/book", "{}", "x-call-id", "c1"));
    assertEquals(1, standIns.get("d1", "/history").path("executions").path("c1").asInt());
  }

  @Test
  @DisplayName("marks a rejected call as not run, and does not execute it")
  void refuses() throws Exception {
    standIns.faults("d1", "{\"refuse\":true}");
    HttpResponse<String> r = standIns.send("d1", "POST", "/book", "{}", "x-call-id", "c1");
    assertEquals("true", r.headers().firstValue("x-not-run").orElse(""));
    assertEquals(0, standIns.get("d1", "/history").path("executions").size());
  }

  @Test
  @DisplayName("refuses connections while it is down, then listens on the same port again")
  void goesDown() throws Exception {
    standIns.faults("d1", "{\"downMs\":500}");
    Awaitility.await().until(this::isDown);
    Awaitility.await().until(() -> !isDown());
  }

  private boolean isDown() throws InterruptedException {
    try {
      standIns.get("d1", "/report");
      return false;
    } catch (IOException e) {
      return true;
    }
  }
}
