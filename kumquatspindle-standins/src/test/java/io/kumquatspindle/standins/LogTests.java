package io.kumquatspindle.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@DisplayName("Log service")
class LogTests {
  @TempDir Path dir;
  private TestStandIns standIns;

  @BeforeEach
  void start() throws Exception {
    standIns =
        new TestStandIns(
            dir,
            "[log]\nlisten = 127.0.0.1:0\nretention_ms = 1500\nappends_per_second = 100\n"
                + "[vm_list]\nlisten = 127.0.0.1:0\nlag_ms = 300\nvms = vm-1@fd-a@127.0.0.1:1\n");
  }

  @AfterEach
  void stop() {
    standIns.close();
  }

  @Test
  @DisplayName("assigns consecutive offsets per stream and returns the bytes as they were appended")
  void appendsAndReads() throws Exception {
    assertEquals("{\"offset\":0}", standIns.send("log", "POST", "/log/tickets", "one").body());
    assertEquals("{\"offset\":1}", standIns.send("log", "POST", "/log/tickets", "two").body());
    assertEquals("{\"offset\":0}", standIns.send("log", "POST", "/log/shares", "x").body());
    JsonNode batch = standIns.get("log", "/log/tickets?from=1&max=10&wait_ms=0");
    assertEquals(2, batch.path("end").asInt());
    assertEquals(1, batch.path("records").size());
    JsonNode record = batch.path("records").get(0);
    assertEquals(1, record.path("offset").asInt());
    assertEquals("two", new String(record.path("value").binaryValue(), StandardCharsets.UTF_8));
    assertTrue(record.path("time_ms").asLong() > 0);
  }

  @Test
  @DisplayName("returns a form-encoded body unchanged, although Jooby would decode and discard it")
  void keepsRawBody() throws Exception {
    String form = "application/x-www-form-urlencoded";
    standIns.send("log", "POST", "/log/tickets", "a=1&b", "content-type", form);
    JsonNode record = standIns.get("log", "/log/tickets?from=0").path("records").get(0);
    assertEquals("a=1&b", new String(record.path("value").binaryValue(), StandardCharsets.UTF_8));
  }

  @Test
  @DisplayName("responds to a long poll as soon as a record arrives, not only when it expires")
  void longPoll() throws Exception {
    CompletableFuture<HttpResponse<String>> poll =
        standIns.sendAsync("log", "GET", "/log/tickets?from=0&wait_ms=8000", "");
    standIns.send("log", "POST", "/log/tickets", "one");
    String body = poll.get(3, TimeUnit.SECONDS).body();
    assertTrue(body.contains("\"end\":1"), body);
  }

  @Test
  @DisplayName("deletes records after the retention time but never reuses their offsets")
  void retention() throws Exception {
    standIns.send("log", "POST", "/log/tickets", "one");
    Thread.sleep(1600);
    JsonNode batch = standIns.get("log", "/log/tickets?from=0");
    assertEquals(1, batch.path("earliest").asInt());
    assertEquals(1, batch.path("end").asInt());
    assertEquals(0, batch.path("records").size());
    assertEquals("{\"offset\":1}", standIns.send("log", "POST", "/log/tickets", "two").body());
  }

  @Test
  @DisplayName("appends nothing while it is unavailable")
  void unavailable() throws Exception {
    standIns.faults("log", "{\"out\":true,\"remaining\":1}");
    assertEquals(503, standIns.status("log", "POST", "/log/tickets", "one"));
    assertEquals("{\"offset\":0}", standIns.send("log", "POST", "/log/tickets", "two").body());
  }

  @Test
  @DisplayName("can lose the response to an append that took effect")
  void losesAnswer() throws Exception {
    standIns.faults("log", "{\"loseAnswer\":true,\"only\":\"appends\",\"remaining\":1}");
    assertThrows(IOException.class, () -> standIns.send("log", "POST", "/log/tickets", "one"));
    assertEquals(1, standIns.get("log", "/log/tickets?from=0").path("end").asInt());
  }

  @Test
  @DisplayName("limits appends to the configured rate")
  void capsAppends() throws Exception {
    long start = System.nanoTime();
    CompletableFuture<?>[] all = new CompletableFuture<?>[50];
    for (int i = 0; i < all.length; i++) {
      all[i] = standIns.sendAsync("log", "POST", "/log/tickets", "x");
    }
    CompletableFuture.allOf(all).get(10, TimeUnit.SECONDS);
    // At 100 appends per second, the last of 50 starts 490 ms after the first.
    assertTrue(System.nanoTime() - start > TimeUnit.MILLISECONDS.toNanos(480));
  }

  @Test
  @DisplayName("VM list: shows a change only after its lag")
  void vmListLag() throws Exception {
    assertEquals(1, standIns.get("vm_list", "/vms").size());
    assertEquals(200, standIns.status("vm_list", "PUT", "/vms", "[]"));
    assertEquals(1, standIns.get("vm_list", "/vms").size());
    Thread.sleep(400);
    assertEquals(0, standIns.get("vm_list", "/vms").size());
  }

  @Test
  @DisplayName("rejects an unknown fault, so that a misspelt one does not go unnoticed")
  void refusesUnknownFault() throws Exception {
    assertEquals(400, standIns.status("log", "POST", "/faults", "{\"outt\":true}"));
  }
}
