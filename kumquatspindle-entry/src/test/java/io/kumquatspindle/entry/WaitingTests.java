package io.kumquatspindle.entry;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.message.EntryMessage.IntentOutcome;
import io.kumquatspindle.api.message.EntryMessage.ModelOutlook;
import io.kumquatspindle.api.message.EntryMessage.ModelWanted;
import io.kumquatspindle.api.message.EntryMessage.Outlook;
import io.kumquatspindle.api.message.EntryMessage.TokenReturn;
import io.kumquatspindle.api.model.ExecutionStatus;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Waiting for models, quota, idempotency keys and shutdown")
class WaitingTests {
  private ScriptedEndpoint endpoint;
  private EntryFixture entry;

  @BeforeEach
  void start() throws Exception {
    endpoint = new ScriptedEndpoint(r -> r.answer(200, "", "{\"usage\":{\"total_tokens\":5}}"));
  }

  @AfterEach
  void stop() throws Exception {
    entry.close();
    endpoint.close();
  }

  private void start(long tokens) {
    entry = new EntryFixture(tokens);
    entry.control.configure(
        EntryFixture.configuration(false, Map.of("e1", endpoint.url(), "s1", endpoint.url())));
  }

  private CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest.Builder request) {
    return entry.client().sendAsync(request.build(), BodyHandlers.ofString());
  }

  @Test
  @DisplayName(
      "each waiting request is answered if the model never becomes ready and control is lost")
  void answersAllWaitingRequests() throws Exception {
    start(1_000_000);
    List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      answers.add(sendAsync(entry.completion(false).header("X-Request-Timeout-Ms", "1500")));
    }
    await()
        .until(
            () ->
                entry.control.received(ModelWanted.class).stream()
                    .anyMatch(w -> w.waiting() == 50));
    entry.program.session().disconnected();
    for (CompletableFuture<HttpResponse<String>> answer : answers) {
      HttpResponse<String> a = answer.get(3, TimeUnit.SECONDS);
      assertEquals(504, a.statusCode(), a.body());
      assertTrue(a.body().contains("\"ran\":\"not_run\""), a.body());
    }
    assertEquals(0, endpoint.received.size());
  }

  @Test
  @DisplayName("a waiting request runs as soon as the model is ready")
  void runsWhenReady() throws Exception {
    start(1_000_000);
    CompletableFuture<HttpResponse<String>> answer = sendAsync(entry.completion(false));
    await().until(() -> !entry.control.received(ModelWanted.class).isEmpty());
    entry.control.announceReady(EntryFixture.MODEL, "e1");
    assertEquals(200, answer.get(3, TimeUnit.SECONDS).statusCode());
  }

  @Test
  @DisplayName("a request waits for the next placement update if its replica is not loaded")
  void waitsAgainWhenNotLoaded() throws Exception {
    start(1_000_000);
    entry.control.announceReady(EntryFixture.MODEL, "e1");
    endpoint.script(r -> r.answer(404, "x-not-run: true\r\n", ""));
    CompletableFuture<HttpResponse<String>> answer = sendAsync(entry.completion(false));
    await().until(() -> !entry.control.received(ModelWanted.class).isEmpty());
    endpoint.script(r -> r.answer(200, "", "{}"));
    entry.control.announceReady(EntryFixture.MODEL, "e1");
    assertEquals(200, answer.get(3, TimeUnit.SECONDS).statusCode());
    assertEquals(2, endpoint.received.size());
  }

  @Test
  @DisplayName("a request is rejected at once if its model will not be ready before the deadline")
  void rejectsRequestThatCannotMeetDeadline() throws Exception {
    start(1_000_000);
    CompletableFuture<HttpResponse<String>> answer =
        sendAsync(entry.completion(false).header("X-Request-Timeout-Ms", "9000"));
    await().until(() -> !entry.control.received(ModelWanted.class).isEmpty());
    ModelOutlook late = new ModelOutlook(EntryFixture.MODEL, Outlook.EXPECTED, 60_000, "");
    entry.program.session().received(late);
    HttpResponse<String> rejected = answer.get(2, TimeUnit.SECONDS);
    assertTrue(rejected.body().contains("\"code\":\"deadline_too_short\""), rejected.body());
    assertEquals("60", rejected.headers().firstValue("Retry-After").orElse(""));
  }

  @Test
  @DisplayName("a customer gets no more tokens than control grants, even if control is lost")
  void limitsTokens() throws Exception {
    start(60);
    entry.control.announceReady(EntryFixture.MODEL, "e1");
    endpoint.script(r -> r.answer(200, "", "{\"usage\":{\"total_tokens\":51}}"));
    assertEquals(200, entry.send(entry.completion(false)).statusCode());
    HttpResponse<String> over = entry.send(entry.completion(false));
    assertEquals(429, over.statusCode(), over.body());
    assertEquals("2", over.headers().firstValue("Retry-After").orElse(""));
    assertTrue(over.body().contains("\"retry_after_ms\":1700"), over.body());
    entry.program.session().disconnected();
    assertEquals(429, entry.send(entry.completion(false)).statusCode());
    String huge = "{\"model\":\"drafter\",\"max_tokens\":6000}";
    HttpRequest.Builder burst =
        entry.request("/v1/completions").POST(HttpRequest.BodyPublishers.ofString(huge));
    assertTrue(entry.send(burst).body().contains("\"code\":\"over_burst\""));
    assertEquals(1, endpoint.received.size());
  }

  @Test
  @DisplayName("a repeated Idempotency-Key is answered with 409 and the call is not sent again")
  void rejectsDuplicates() throws Exception {
    start(1_000_000);
    assertEquals(200, entry.send(entry.call("a").header("Idempotency-Key", "k1")).statusCode());
    await().until(() -> !entry.control.received(IntentOutcome.class).isEmpty());
    assertEquals(ExecutionStatus.RAN, entry.control.received(IntentOutcome.class).get(0).ran());
    HttpResponse<String> again = entry.send(entry.call("a").header("Idempotency-Key", "k1"));
    assertEquals(409, again.statusCode(), again.body());
    assertTrue(again.body().contains("\"ran\":\"ran\""), again.body());
    assertEquals(422, entry.send(entry.call("b").header("Idempotency-Key", "k1")).statusCode());
    entry.control.logUnavailable = true;
    HttpResponse<String> out = entry.send(entry.call("c").header("Idempotency-Key", "k2"));
    assertTrue(out.body().contains("\"code\":\"idempotency_unavailable\""), out.body());
    assertTrue(out.body().contains("\"ran\":\"not_run\""), out.body());
    assertEquals(1, endpoint.received.size());
  }

  @Test
  @DisplayName("a shutdown fails the readiness check, drains a running stream and returns tokens")
  void drainsOnStop() throws Exception {
    start(1_000_000);
    entry.control.announceReady(EntryFixture.MODEL, "e1");
    endpoint.script(
        r -> {
          r.startStream();
          for (int i = 0; i < 10; i++) {
            r.event("{\"n\":" + i + "}");
            Thread.sleep(100);
          }
          r.endStream();
        });
    HttpResponse<Stream<String>> answer =
        entry.client().send(entry.completion(true).build(), BodyHandlers.ofLines());
    Iterator<String> lines = answer.body().iterator();
    assertEquals("data: {\"n\":0}", lines.next());
    CompletableFuture<Void> stopped = CompletableFuture.runAsync(this::stopEntry);
    await().until(() -> !entry.program.isReady());
    String last = "";
    while (lines.hasNext()) {
      String line = lines.next();
      last = line.isEmpty() ? last : line;
    }
    assertEquals("data: [DONE]", last);
    stopped.get(10, TimeUnit.SECONDS);
    assertTrue(!entry.control.received(TokenReturn.class).isEmpty());
  }

  private void stopEntry() {
    try {
      entry.stop();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
