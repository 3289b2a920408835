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
  private TestStandIns s;

  @BeforeEach
  void start() throws Exception {
    s =
        new TestStandIns(
            dir,
            "[log]\nlisten = 127.0.0.1:0\nretention_ms = 1500\nappends_per_second = 100\n"
                + "[vm_list]\nlisten = 127.0.0.1:0\nlag_ms = 300\nvms = vm-1@fd-a@127.0.0.1:1\n");
  }

  @AfterEach
  void stop() {
    s.close();
  }

  @Test
  @DisplayName("gives consecutive offsets per stream and returns the bytes as they were appended")
  void appendsAndReads() throws Exception {
    assertEquals("{\"offset\":0}", s.send("log", "POST", "/log/tickets", "one").body());
    assertEquals("{\"offset\":1}", s.send("log", "POST", "/log/tickets", "two").body());
    assertEquals("{\"offset\":0}", s.send("log", "POST", "/log/shares", "x").body());
    JsonNode batch = s.get("log", "/log/tickets?from=1&max=10&wait_ms=0");
    assertEquals(2, batch.path("end").asInt());
    assertEquals(1, batch.path("records").size());
    JsonNode record = batch.path("records").get(0);
    assertEquals(1, record.path("offset").asInt());
    assertEquals("two", new String(record.path("value").binaryValue(), StandardCharsets.UTF_8));
    assertTrue(record.path("time_ms").asLong() > 0);
  }

  @Test
  @DisplayName("keeps a form-encoded body raw, which Jooby would otherwise decode and drop")
  void keepsRawBody() throws Exception {
    String form = "application/x-www-form-urlencoded";
    s.send("log", "POST", "/log/tickets", "a=1&b", "content-type", form);
    JsonNode record = s.get("log", "/log/tickets?from=0").path("records").get(0);
    assertEquals("a=1&b", new String(record.path("value").binaryValue(), StandardCharsets.UTF_8));
  }

  @Test
  @DisplayName("answers a long poll as soon as a record arrives, not only at its end")
  void longPoll() throws Exception {
    CompletableFuture<HttpResponse<String>> poll =
        s.sendAsync("log", "GET", "/log/tickets?from=0&wait_ms=8000", "");
    s.send("log", "POST", "/log/tickets", "one");
    String body = poll.get(3, TimeUnit.SECONDS).body();
    assertTrue(body.contains("\"end\":1"), body);
  }

  @Test
  @DisplayName("drops records after the retention time but never reuses their offsets")
  void retention() throws Exception {
    s.send("log", "POST", "/log/tickets", "one");
    Thread.sleep(1600);
    JsonNode batch = s.get("log", "/log/tickets?from=0");
    assertEquals(1, batch.path("earliest").asInt());
    assertEquals(1, batch.path("end").asInt());
    assertEquals(0, batch.path("records").size());
    assertEquals("{\"offset\":1}", s.send("log", "POST", "/log/tickets", "two").body());
  }

  @Test
  @DisplayName("when out, certainly appends nothing")
  void out() throws Exception {
    s.faults("log", "{\"out\":true,\"remaining\":1}");
    assertEquals(503, s.status("log", "POST", "/log/tickets", "one"));
    assertEquals("{\"offset\":0}", s.send("log", "POST", "/log/tickets", "two").body());
  }

  @Test
  @DisplayName("can lose the answer to an append that took effect")
  void losesAnswer() throws Exception {
    s.faults("log", "{\"loseAnswer\":true,\"only\":\"appends\",\"remaining\":1}");
    assertThrows(IOException.class, () -> s.send("log", "POST", "/log/tickets", "one"));
    assertEquals(1, s.get("log", "/log/tickets?from=0").path("end").asInt());
  }

  @Test
  @DisplayName("spaces appends to the rate it is given")
  void capsAppends() throws Exception {
    long start = System.nanoTime();
    CompletableFuture<?>[] all = new CompletableFuture<?>[50];
    for (int i = 0; i < all.length; i++) {
      all[i] = s.sendAsync("log", "POST", "/log/tickets", "x");
    }
    CompletableFuture.allOf(all).get(10, TimeUnit.SECONDS);
    // 50 appends at 100 a second take 490 ms after the first one.
    assertTrue(System.nanoTime() - start > TimeUnit.MILLISECONDS.toNanos(480));
  }

  @Test
  @DisplayName("VM list: shows a change only after its lag")
  void vmListLag() throws Exception {
    assertEquals(1, s.get("vm_list", "/vms").size());
    assertEquals(200, s.status("vm_list", "PUT", "/vms", "[]"));
    assertEquals(1, s.get("vm_list", "/vms").size());
    Thread.sleep(400);
    assertEquals(0, s.get("vm_list", "/vms").size());
  }

  @Test
  @DisplayName("refuses an unknown fault, so that a misspelt one cannot go unnoticed")
  void refusesUnknownFault() throws Exception {
    assertEquals(400, s.status("log", "POST", "/faults", "{\"outt\":true}"));
  }
}
