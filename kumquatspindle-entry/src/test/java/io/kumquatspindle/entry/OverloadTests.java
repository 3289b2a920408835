package io.kumquatspindle.entry;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against an unbounded backlog, which exhausts memory and threads and delays responses. */
@DisplayName("Overload")
class OverloadTests {

  private static List<CompletableFuture<HttpResponse<String>>> sendAll(
      EntryFixture entry, int count, HttpRequest.Builder request) {
    return Stream.generate(() -> entry.client().sendAsync(request.build(), BodyHandlers.ofString()))
        .limit(count)
        .toList();
  }

  private static void assertOverload(
      EntryFixture entry, ScriptedEndpoint endpoint, HttpRequest.Builder request, int admitted)
      throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    endpoint.script(
        r -> {
          release.await();
          r.answer(200, "", "{}");
        });
    int sent = 3 * admitted;
    List<CompletableFuture<HttpResponse<String>>> answers = sendAll(entry, sent, request);
    // Excess requests are rejected while the admitted ones still run, well before any deadline.
    await()
        .atMost(10, TimeUnit.SECONDS)
        .until(() -> answers.stream().filter(CompletableFuture::isDone).count() == sent - admitted);
    for (CompletableFuture<HttpResponse<String>> a : answers) {
      if (a.isDone()) {
        assertEquals(503, a.join().statusCode());
        assertTrue(a.join().body().contains("\"code\":\"queue_full\""), a.join().body());
        assertTrue(a.join().body().contains("\"ran\":\"not_run\""), a.join().body());
      }
    }
    // An admitted request may still be on its way when the excess ones have been rejected.
    await().atMost(10, TimeUnit.SECONDS).until(() -> endpoint.received.size() >= admitted);
    release.countDown();
    long served = answers.stream().filter(a -> a.join().statusCode() == 200).count();
    assertEquals(admitted, served);
    assertEquals(admitted, endpoint.received.size());
    endpoint.received.clear();
    // All slots have been released.
    for (var a : sendAll(entry, admitted, request)) {
      assertEquals(200, a.join().statusCode(), a.join().body());
    }
  }

  @Test
  @DisplayName("rejects requests over the limit on running requests early, and recovers")
  void boundsRunningRequests() throws Exception {
    try (EntryFixture entry = new EntryFixture();
        ScriptedEndpoint endpoint = new ScriptedEndpoint(r -> {})) {
      entry.serve(Map.of("e1", endpoint.url()));
      assertOverload(entry, endpoint, entry.completion(false), EntryFixture.RUNNING_REQUESTS);
    }
  }

  @Test
  @DisplayName("rejects requests over the limit on buffered body bytes early, and recovers")
  void boundsBodyBytes() throws Exception {
    try (EntryFixture entry = new EntryFixture();
        ScriptedEndpoint endpoint = new ScriptedEndpoint(r -> {})) {
      entry.serve(Map.of("s1", endpoint.url()));
      int size = 60_000;
      HttpRequest.Builder large = entry.call("x".repeat(size));
      assertOverload(entry, endpoint, large, EntryFixture.BODY_BYTES_AT_ONCE / size);
    }
  }
}
