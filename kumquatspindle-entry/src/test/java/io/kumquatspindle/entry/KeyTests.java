package io.kumquatspindle.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.Iterator;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Keys")
class KeyTests {
  private ScriptedEndpoint endpoint;
  private EntryFixture entry;

  @BeforeEach
  void start() throws IOException {
    endpoint = new ScriptedEndpoint(r -> r.answer(200, "", "{\"usage\":{\"total_tokens\":7}}"));
    entry = new EntryFixture();
  }

  @AfterEach
  void stop() throws Exception {
    entry.close();
    endpoint.close();
  }

  private void serve() {
    entry.serve(Map.of("e1", endpoint.url(), "s1", endpoint.url()));
  }

  @Test
  @DisplayName(
      "a wrong, missing or withdrawn key is rejected before anything is sent to an endpoint")
  void rejectsInvalidKey() throws Exception {
    serve();
    HttpResponse<String> wrong =
        entry.send(entry.completion(false).setHeader("Authorization", "Bearer wrong"));
    assertEquals(401, wrong.statusCode());
    assertTrue(wrong.body().contains("\"code\":\"unknown_key\""), wrong.body());
    assertTrue(wrong.headers().firstValue("X-Request-Id").isPresent());
    HttpResponse<String> missing =
        entry.send(entry.completion(false).setHeader("Authorization", "Basic x"));
    assertTrue(missing.body().contains("\"code\":\"missing_key\""), missing.body());
    entry.control.configure(EntryFixture.configuration(true, Map.of("e1", endpoint.url())));
    HttpResponse<String> withdrawn = entry.send(entry.completion(false));
    assertTrue(withdrawn.body().contains("\"code\":\"key_withdrawn\""), withdrawn.body());
    assertEquals(0, endpoint.received.size());
  }

  @Test
  @DisplayName("headers and cookies with the key and undeclared parameters are not forwarded")
  void keepsKeyFromEndpoint() throws Exception {
    serve();
    HttpResponse<String> answer =
        entry.send(
            entry
                .request("/services/dispatch/notices?zone=4&debug=1")
                .header("Cookie", "session=" + EntryFixture.KEY)
                .header("X-Api-Key", EntryFixture.KEY)
                .POST(HttpRequest.BodyPublishers.ofString("notice")));
    assertEquals(200, answer.statusCode(), answer.body());
    ScriptedEndpoint.Received received = endpoint.received.get(0);
    assertFalse(received.toString().contains(EntryFixture.KEY), received.toString());
    assertEquals("POST /notices?zone=4 HTTP/1.1", received.line());
    assertEquals("notice", received.body());
    assertTrue(received.headers().containsKey("traceparent"));
  }

  @Test
  @DisplayName("a key in query, body, escaped JSON or a forwarded header is rejected")
  void rejectsKeyInRequest() throws Exception {
    serve();
    String escaped = "{\"model\":\"drafter\",\"prompt\":\"secret\\u002dkey-1234\"}";
    Stream<HttpRequest.Builder> requests =
        Stream.of(
            entry.request("/services/dispatch/a?zone=" + EntryFixture.KEY),
            entry.request("/services/dispatch/a?zone=secret%2Dkey%2D1234"),
            entry.call("x " + EntryFixture.KEY),
            entry
                .call("k=secret%2dkey-1234")
                .header("Content-Type", "application/x-www-form-urlencoded"),
            entry.call("x").header("Accept", EntryFixture.KEY),
            entry.request("/v1/completions").POST(HttpRequest.BodyPublishers.ofString(escaped)));
    for (HttpRequest.Builder request : requests.toList()) {
      HttpResponse<String> answer = entry.send(request);
      assertEquals(400, answer.statusCode());
      assertTrue(answer.body().contains("\"code\":\"key_in_request\""), answer.body());
    }
    assertEquals(0, endpoint.received.size());
  }

  @Test
  @DisplayName("a stream ends with an error event within one second after its key was withdrawn")
  void endsStreamOfWithdrawnKey() throws Exception {
    serve();
    endpoint.script(
        r -> {
          r.startStream();
          r.event("{\"n\":1}");
          Thread.sleep(10_000);
        });
    HttpResponse<Stream<String>> answer =
        entry.client().send(entry.completion(true).build(), BodyHandlers.ofLines());
    Iterator<String> lines = answer.body().iterator();
    assertEquals("data: {\"n\":1}", lines.next());
    long before = System.nanoTime();
    entry.control.configure(EntryFixture.configuration(true, Map.of("e1", endpoint.url())));
    assertEquals("", lines.next());
    assertEquals("event: error", lines.next());
    assertTrue(lines.next().contains("\"code\":\"key_withdrawn\""));
    assertTrue(System.nanoTime() - before < 1_000_000_000L);
  }

  @Test
  @DisplayName("a running call that is not repeatable finishes after its key was withdrawn")
  void finishesNonRepeatableCall() throws Exception {
    serve();
    endpoint.script(
        r -> {
          entry.control.configure(EntryFixture.configuration(true, Map.of()));
          r.answer(201, "", "booked");
        });
    HttpResponse<String> answer = entry.send(entry.call("book"));
    assertEquals(201, answer.statusCode(), answer.body());
    assertEquals("booked", answer.body());
  }

  @Test
  @DisplayName("keys are rejected if the configuration was not confirmed within the grace time")
  void rejectsStaleConfiguration() throws Exception {
    assertEquals(503, entry.adminStatus("/health/ready"));
    serve();
    Map<String, String> urls = Map.of("e1", endpoint.url(), "s1", endpoint.url());
    entry.control.configure(EntryFixture.configuration(false, 1, urls));
    assertEquals(200, entry.adminStatus("/health/ready"));
    assertEquals(200, entry.send(entry.completion(false)).statusCode());
    Thread.sleep(1_100);
    HttpResponse<String> answer = entry.send(entry.completion(false));
    assertEquals(503, answer.statusCode());
    assertTrue(answer.body().contains("\"code\":\"stale_configuration\""), answer.body());
    HttpRequest open = entry.request("/public/status").setHeader("Authorization", "none").build();
    assertEquals(200, entry.client().send(open, BodyHandlers.ofString()).statusCode());
  }
}
