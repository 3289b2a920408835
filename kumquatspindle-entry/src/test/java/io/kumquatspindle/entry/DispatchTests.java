package io.kumquatspindle.entry;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Dispatch")
class DispatchTests {
  private static final String UNREACHABLE_URL = "http://127.0.0.1:1";

  private ScriptedEndpoint endpoint;
  private ScriptedEndpoint second;
  private EntryFixture entry;

  @BeforeEach
  void start() throws IOException {
    endpoint = new ScriptedEndpoint(r -> r.answer(200, "", "{}"));
    second = new ScriptedEndpoint(r -> r.answer(200, "", "{\"from\":\"second\"}"));
    entry = new EntryFixture();
  }

  @AfterEach
  void stop() throws Exception {
    entry.close();
    endpoint.close();
    second.close();
  }

  private static void assertError(HttpResponse<String> answer, int status, String ran) {
    assertEquals(status, answer.statusCode(), answer.body());
    assertTrue(answer.body().contains("\"ran\":\"" + ran + "\""), answer.body());
  }

  @Test
  @DisplayName("relays a stream event by event and charges the tokens that it reports")
  void relaysStream() throws Exception {
    entry.serve(Map.of("e1", endpoint.url()));
    endpoint.script(
        r -> {
          r.startStream();
          r.event("{\"a\":1}");
          r.event("{\"usage\":{\"total_tokens\":42}}");
          r.endStream();
        });
    HttpResponse<String> answer = entry.send(entry.completion(true));
    assertEquals(
        "data: {\"a\":1}\n\ndata: {\"usage\":{\"total_tokens\":42}}\n\ndata: [DONE]\n\n",
        answer.body());
    await().atMost(5, TimeUnit.SECONDS).until(() -> entry.control.tokens() == 1_000_000 - 42);
  }

  @Test
  @DisplayName("a response to another request is discarded and not sent to the caller")
  void discardsCrossedAnswer() throws Exception {
    endpoint.script(r -> r.answerAs("other-1", 200, "", "{\"secret\":\"of another customer\"}"));
    entry.serve(Map.of("e1", endpoint.url()));
    assertError(entry.send(entry.completion(false)), 502, "unknown");
    entry.serve(Map.of("e1", endpoint.url(), "e2", second.url()));
    for (int i = 0; i < 3; i++) {
      HttpResponse<String> answer = entry.send(entry.completion(false));
      assertEquals("{\"from\":\"second\"}", answer.body());
    }
  }

  @Test
  @DisplayName("a stream that breaks off or lacks its end marker ends with an error event")
  void reportsCutStream() throws Exception {
    entry.serve(Map.of("e1", endpoint.url()));
    endpoint.script(
        r -> {
          r.startStream();
          r.event("{\"n\":1}");
          r.socket().close();
        });
    assertBroken();
    endpoint.script(
        r -> {
          r.startStream();
          r.event("{\"n\":1}");
          r.send("0\r\n\r\n");
        });
    assertBroken();
  }

  // Read from a socket: the JDK's client discards data that it has received when the connection
  // ends before the data is read. The body is not terminated, so that a client detects the cut.
  private void assertBroken() throws IOException {
    try (Socket caller = raw("POST /v1/completions", completionBody(true))) {
      caller.setSoTimeout(10_000);
      String answer = new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
      StringBuilder body = new StringBuilder();
      String rest = answer.substring(answer.indexOf("\r\n\r\n") + 4);
      while (!rest.isEmpty()) {
        int data = rest.indexOf("\r\n") + 2;
        int length = Integer.parseInt(rest.substring(0, data - 2), 16);
        assertTrue(length > 0, "terminated body: " + answer);
        body.append(rest, data, data + length);
        rest = rest.substring(data + length + 2);
      }
      String expected = "data: \\{\"n\":1}\n\nevent: error\ndata: [^\n]*\n\n";
      assertTrue(body.toString().matches(expected), answer);
      assertTrue(body.toString().contains("\"code\":\"answer_incomplete\""), answer);
    }
  }

  @Test
  @DisplayName("a body over the limit is rejected, even without Content-Length")
  void rejectsLargeBody() throws Exception {
    byte[] large = new byte[70_000];
    HttpRequest.BodyPublisher known = HttpRequest.BodyPublishers.ofByteArray(large);
    HttpRequest.BodyPublisher unknown =
        HttpRequest.BodyPublishers.ofInputStream(() -> new ByteArrayInputStream(large));
    for (HttpRequest.BodyPublisher body : List.of(known, unknown)) {
      HttpResponse<String> answer = entry.send(entry.request("/v1/completions").POST(body));
      assertError(answer, 413, "not_run");
    }
  }

  @Test
  @DisplayName(
      "a call that is not repeatable is not resent if the connection breaks after it was sent")
  void sendsNonRepeatableCallOnce() throws Exception {
    entry.serve(Map.of("s1", endpoint.url(), "s2", endpoint.url()));
    endpoint.script(r -> r.socket().close());
    assertError(entry.send(entry.call("book")), 502, "unknown");
    assertEquals(1, endpoint.received.size());
  }

  @Test
  @DisplayName("the HTTP client does not resend a call by itself after 503 and Retry-After: 0")
  void sendsOnceDespiteRetryAfter() throws Exception {
    entry.serve(Map.of("s1", endpoint.url()));
    endpoint.script(r -> r.answer(503, "Retry-After: 0\r\n", "busy"));
    assertEquals(503, entry.send(entry.call("book")).statusCode());
    assertEquals(503, entry.send(entry.request("/services/dispatch/x").GET()).statusCode());
    assertEquals(2, endpoint.received.size());
  }

  @Test
  @DisplayName("\"not_run\" is reported only if nothing was sent or the endpoint reported it")
  void saysNotRunOnlyWhenCertain() throws Exception {
    entry.serve(Map.of("e1", UNREACHABLE_URL, "s1", UNREACHABLE_URL));
    assertError(entry.send(entry.call("book")), 503, "not_run");
    assertError(entry.send(entry.completion(false)), 503, "not_run");
    entry.serve(Map.of("s1", endpoint.url()));
    endpoint.script(r -> r.answer(503, "x-not-run: true\r\n", ""));
    assertError(entry.send(entry.call("book")), 503, "not_run");
    // The second attempt did not execute the request, but the first one may have.
    ScriptedEndpoint.Script breakThenRefuse =
        r -> {
          if (r.id().endsWith("-1")) {
            r.socket().close();
          } else {
            r.answer(503, "x-not-run: true\r\n", "");
          }
        };
    endpoint.script(breakThenRefuse);
    second.script(breakThenRefuse);
    entry.serve(Map.of("e1", endpoint.url(), "e2", second.url()));
    assertError(entry.send(entry.completion(false)), 502, "unknown");
  }

  @Test
  @DisplayName("a call is sent to another endpoint if the first one reported that it did not run")
  void retriesWhenNotRun() throws Exception {
    endpoint.script(r -> r.answer(503, "x-not-run: true\r\n", ""));
    entry.serve(Map.of("s1", endpoint.url(), "s2", second.url(), "s3", UNREACHABLE_URL));
    for (int i = 0; i < 4; i++) {
      assertEquals("{\"from\":\"second\"}", entry.send(entry.call("book")).body());
    }
    assertEquals(4, second.received.size());
  }

  @Test
  @DisplayName(
      "without a first byte by the deadline, the caller is told that the request may have run")
  void answersByDeadline() throws Exception {
    entry.serve(Map.of("e1", endpoint.url()));
    endpoint.script(r -> Thread.sleep(5_000));
    long before = System.nanoTime();
    HttpResponse<String> answer =
        entry.send(entry.completion(true).header("X-Request-Timeout-Ms", "300"));
    assertError(answer, 504, "unknown");
    assertTrue(System.nanoTime() - before < 2_000_000_000L);
  }

  @Test
  @DisplayName("a disconnect of the caller cancels the call, before and during the response")
  void cancelsWhenCallerDisconnects() throws Exception {
    entry.serve(Map.of("e1", endpoint.url()));
    CountDownLatch cancelled = new CountDownLatch(2);
    endpoint.script(
        r -> {
          if (r.body().contains("true")) {
            r.startStream();
            r.event("{\"n\":1}");
          }
          if (r.socket().getInputStream().read() < 0) {
            cancelled.countDown();
          }
        });
    for (boolean streamed : new boolean[] {true, false}) {
      try (Socket caller = raw("POST /v1/completions", completionBody(streamed))) {
        await().until(() -> endpoint.received.size() == (streamed ? 1 : 2));
        assertTrue(!streamed || caller.getInputStream().read() >= 0);
      }
    }
    assertTrue(cancelled.await(5, TimeUnit.SECONDS));
  }

  @Test
  @DisplayName("responses to pipelined requests are sent in the order of the requests")
  void answersPipelinedRequestsInOrder() throws Exception {
    entry.serve(Map.of("s1", endpoint.url()));
    endpoint.script(
        r -> {
          Thread.sleep(r.body().equals("slow") ? 300 : 0);
          r.answer(200, "", "<" + r.body() + ">");
        });
    try (Socket caller = raw("POST /services/dispatch/a", "slow")) {
      caller.getOutputStream().write(bytes("POST /services/dispatch/b", "fast"));
      InputStream in = caller.getInputStream();
      StringBuilder text = new StringBuilder();
      while (!text.toString().contains("<fast>")) {
        text.append((char) in.read());
      }
      assertTrue(text.indexOf("<slow>") >= 0 && text.indexOf("<slow>") < text.indexOf("<fast>"));
    }
  }

  private static String completionBody(boolean streamed) {
    return "{\"model\":\"drafter\",\"stream\":" + streamed + "}";
  }

  private Socket raw(String line, String body) throws IOException {
    Socket socket = new Socket("127.0.0.1", entry.program.callerPort());
    OutputStream out = socket.getOutputStream();
    out.write(bytes(line, body));
    out.flush();
    return socket;
  }

  private static byte[] bytes(String line, String body) {
    String head = line + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + EntryFixture.KEY;
    String all = head + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    return all.getBytes(StandardCharsets.UTF_8);
  }
}
