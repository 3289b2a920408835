package io.kumquatspindle.bench.speed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.bench.client.ChatClient;
import io.kumquatspindle.bench.client.ChatRequest;
import io.kumquatspindle.bench.processes.BuildTree;
import io.kumquatspindle.bench.processes.TestSite;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@DisplayName("Open-loop load generator")
class OpenLoopTests {
  private static final long STALL_MS = 500;
  private static final ChatRequest REQUEST = new ChatRequest("m", "hello", 3);

  @TempDir Path dir;
  private TestSite site;
  private ChatClient caller;

  @BeforeEach
  void start() throws Exception {
    site =
        TestSite.builder(BuildTree.current(), dir)
            .vmsPerDomain(0)
            .endpoints(2, 0)
            .standInSetting("engines.first_token_ms", 5)
            .standInSetting("engines.per_token_ms", 1)
            .standInSetting("engines.in_memory", "m")
            .standInSetting("engines.capacity", 1000)
            .start();
    caller = new ChatClient(Duration.ofSeconds(10));
    for (String engine : site.engines()) {
      post(engine, "/orders/load", "{\"artifact\":\"m\",\"memoryMb\":1}");
    }
  }

  @AfterEach
  void stop() {
    caller.close();
    site.close();
  }

  private void post(String engine, String path, String body) throws Exception {
    HttpRequest r =
        HttpRequest.newBuilder(site.standInUrl(engine).resolve(path))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    HttpResponse<String> response =
        HttpClient.newHttpClient().send(r, HttpResponse.BodyHandlers.ofString());
    assertEquals(200, response.statusCode(), response.body());
  }

  private Target target(String engine) {
    URI url = site.standInUrl(engine);
    return new Target(engine, url, Optional.empty());
  }

  @Test
  @DisplayName("sends to each target at the requested rate and counts complete, correct answers")
  void sendsAtRequestedRate() {
    List<TargetResult.Summary> s =
        new OpenLoop(caller, REQUEST)
            .run(List.of(target("engine-1"), target("engine-2")), 100, Duration.ofSeconds(2));
    for (TargetResult.Summary t : s) {
      assertEquals(200, t.answered());
      assertEquals(0, t.failed());
      assertTrue(t.firstTokenMicros().p50() >= 5_000, t.toString());
      assertTrue(t.wholeMicros().p50() >= t.firstTokenMicros().p50(), t.toString());
    }
  }

  @Test
  @DisplayName("counts a stall for every request due during it (no coordinated omission)")
  void countsStall() throws Exception {
    CompletableFuture<Void> stall = CompletableFuture.runAsync(this::pauseStandIns);
    List<TargetResult.Summary> s =
        new OpenLoop(caller, REQUEST).run(List.of(target("engine-1")), 100, Duration.ofSeconds(2));
    stall.get(5, TimeUnit.SECONDS);
    // 500 of 2,000 ms are stalled: a quarter of the requests wait, so the p99 is close to the
    // length of the stall.
    assertTrue(s.get(0).wholeMicros().p99() > 400_000, s.toString());
    assertEquals(200, s.get(0).answered());
  }

  private void pauseStandIns() {
    try {
      // Fixed sleeps shape the load: the stall must begin and end within the 2 s of the open loop.
      Thread.sleep(STALL_MS);
      site.standIns().pause();
      Thread.sleep(STALL_MS);
      site.standIns().resume();
    } catch (Exception e) {
      throw new AssertionError(e);
    }
  }

  @Test
  @DisplayName("counts an answer that belongs to another request as failed")
  void countsCrossedAnswer() throws Exception {
    // With this fault the engine returns the answer to the preceding request. That request must
    // differ, and the loop must send exactly one request after it.
    caller.send(site.standInUrl("engine-1"), Optional.empty(), new ChatRequest("m", "other", 3));
    post("engine-1", "/faults", "{\"crossAnswers\":true,\"remaining\":1}");
    OpenLoop loop = new OpenLoop(caller, REQUEST);
    List<Target> targets = List.of(target("engine-1"));
    TargetResult.Summary crossed = loop.run(targets, 2, Duration.ofMillis(500)).get(0);
    assertEquals(1, crossed.failed());
    assertEquals(0, crossed.answered());
    TargetResult.Summary own = loop.run(targets, 2, Duration.ofMillis(500)).get(0);
    assertEquals(0, own.failed());
    assertEquals(1, own.answered());
  }

  @Test
  @DisplayName(
      "heap gauge: is read with or without labels, but not from a gauge with a longer name")
  void readsGauge() {
    assertEquals(OptionalLong.of(12), HeapSampler.parseHeapUsed("jvm_heap_used_bytes 12\n"));
    assertEquals(
        OptionalLong.of(1200), HeapSampler.parseHeapUsed("jvm_heap_used_bytes{vm=\"a\"} 1.2e3"));
    assertEquals(OptionalLong.empty(), HeapSampler.parseHeapUsed("jvm_heap_used_bytes_max 12\n"));
  }
}
