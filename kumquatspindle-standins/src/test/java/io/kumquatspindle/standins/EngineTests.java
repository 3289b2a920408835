package io.kumquatspindle.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@DisplayName("Model engine")
class EngineTests {
  private static final String CHAT = "/v1/chat/completions";
  private static final String BODY =
      "{\"model\":\"m\",\"stream\":true,\"max_tokens\":4,\"messages\":[{\"content\":\"hi\"}]}";

  @TempDir Path dir;
  private TestStandIns standIns;

  @BeforeEach
  void start() throws Exception {
    standIns =
        new TestStandIns(
            dir,
            "[store]\nlisten = 127.0.0.1:0\nmegabytes_per_second = 1000\n"
                + "loads_per_minute = 60000\ntransfers_at_once = 2\n"
                + "[engines]\nnames = e1, e2\nmemory_mb = 1000\nfirst_token_ms = 20\n"
                + "per_token_ms = 5\nin_memory = m, m2, m3\ncapacity = 1\nmax_waiting = 1\n"
                + "[engine e2]\nfencing = false\nreport_lag_ms = 400\n");
  }

  @AfterEach
  void stop() {
    standIns.close();
  }

  private HttpResponse<String> chat(String id) throws Exception {
    return standIns.send("e1", "POST", CHAT, BODY, "x-request-id", id);
  }

  @Nested
  @DisplayName("orders")
  class Orders {

    @Test
    @DisplayName("rejects and counts a load that exceeds its memory")
    void countsOvercommit() throws Exception {
      assertEquals(200, standIns.load("e1", "m", "", 600, 1));
      assertEquals(507, standIns.load("e1", "m2", "", 600, 2));
      JsonNode stats = standIns.get("e1", "/stats");
      assertEquals(1, stats.path("violations").path("memoryOvercommits").asInt());
      assertEquals(600, stats.path("usedMb").asInt());
      String unload = "{\"artifact\":\"m\",\"fencingNumber\":3}";
      assertEquals(200, standIns.status("e1", "POST", "/orders/unload", unload));
      assertEquals(200, standIns.load("e1", "m2", "", 600, 4));
    }

    @Test
    @DisplayName("counts memory of a load in progress, so that concurrent loads cannot overcommit")
    void countsLoadInProgress() throws Exception {
      CompletableFuture<HttpResponse<String>> first =
          standIns.sendAsync("e1", "POST", "/orders/load", TestStandIns.loadBody("r", "", 600, 1));
      Awaitility.await().until(() -> standIns.get("e1", "/report").path("loading").size() == 1);
      assertEquals(507, standIns.load("e1", "m", "", 600, 2));
      assertEquals(200, first.get(5, TimeUnit.SECONDS).statusCode());
    }

    @Test
    @DisplayName("rejects a stale fencing number of the same artifact only if fencing is enabled")
    void fences() throws Exception {
      assertEquals(200, standIns.load("e1", "m", "", 100, 5));
      assertEquals(200, standIns.load("e1", "m2", "", 100, 4));
      assertEquals(409, standIns.load("e1", "m", "", 100, 4));
      assertEquals(200, standIns.load("e2", "m", "", 100, 5));
      assertEquals(200, standIns.load("e2", "m", "", 100, 4));
    }

    @Test
    @DisplayName("loads an adapter only onto its loaded model")
    void adapterNeedsModel() throws Exception {
      assertEquals(503, standIns.load("e1", "a", "m", 10, 1));
      assertEquals(200, standIns.load("e1", "m", "", 100, 2));
      assertEquals(200, standIns.load("e1", "a", "m", 10, 3));
    }

    @Test
    @DisplayName("restarts with a new incarnation and empty memory")
    void restarts() throws Exception {
      standIns.load("e1", "m", "", 100, 1);
      String before = standIns.get("e1", "/report").path("incarnation").asText();
      standIns.faults("e1", "{\"restart\":true}");
      // The restart closes connections shortly after its response, including that of a new request.
      Awaitility.await()
          .ignoreExceptions()
          .untilAsserted(
              () -> {
                JsonNode report = standIns.get("e1", "/report");
                assertNotEquals(before, report.path("incarnation").asText());
                assertTrue(report.path("loaded").isEmpty());
              });
    }

    @Test
    @DisplayName("reports the state from before the report lag")
    void reportLags() throws Exception {
      standIns.load("e2", "m", "", 100, 1);
      assertTrue(standIns.get("e2", "/report").path("loaded").isEmpty());
      Awaitility.await().until(() -> standIns.get("e2", "/report").path("loaded").has("m"));
    }

    @Test
    @DisplayName(
        "divides the store's bandwidth when more transfers run than it serves at full speed")
    void storeSlowsDown() throws Exception {
      long start = System.nanoTime();
      CompletableFuture<?>[] loads = new CompletableFuture<?>[4];
      for (int i = 0; i < loads.length; i++) {
        String body = TestStandIns.loadBody("r" + i, "", 200, i);
        loads[i] = standIns.sendAsync("e1", "POST", "/orders/load", body);
      }
      CompletableFuture.allOf(loads).get(5, TimeUnit.SECONDS);
      // 800 MB at 2 x 1,000 MB per second take 400 ms.
      assertTrue(System.nanoTime() - start > TimeUnit.MILLISECONDS.toNanos(390));
    }
  }

  @Nested
  @DisplayName("requests")
  class Requests {

    @BeforeEach
    void load() throws Exception {
      standIns.load("e1", "m", "", 100, 1);
    }

    @Test
    @DisplayName("streams tokens, usage and the end marker, and echoes the request id")
    void streams() throws Exception {
      HttpResponse<String> r = chat("id-1");
      assertEquals("id-1", r.headers().firstValue("x-request-id").orElse(""));
      assertTrue(r.body().endsWith("data: [DONE]\n\n"), r.body());
      assertTrue(r.body().contains("\"completion_tokens\":4"), r.body());
      JsonNode seen = standIns.get("e1", "/history").path("requests").get(0);
      assertEquals("finished", seen.path("outcome").asText());
      assertEquals("id-1", seen.path("headers").path("x-request-id").asText());
    }

    @Test
    @DisplayName("responds with 404 as not run when the model is not loaded")
    void notLoaded() throws Exception {
      HttpResponse<String> r = standIns.send("e1", "POST", CHAT, BODY.replace("\"m\"", "\"x\""));
      assertEquals(404, r.statusCode());
      assertEquals("true", r.headers().firstValue("x-not-run").orElse(""));
    }

    @Test
    @DisplayName("closes a stream without its end marker, then recovers")
    void breaks() throws Exception {
      standIns.faults("e1", "{\"breakAfterTokens\":2,\"remaining\":1}");
      assertThrows(IOException.class, () -> chat("id-1"));
      assertEquals(200, chat("id-2").statusCode());
    }

    @Test
    @DisplayName("stalls a stream, and releases its capacity when the client disconnects")
    void silent() throws Exception {
      standIns.faults("e1", "{\"silentAfterTokens\":1,\"remaining\":1}");
      CompletableFuture<HttpResponse<String>> r = standIns.sendAsync("e1", "POST", CHAT, BODY);
      assertThrows(Exception.class, () -> r.get(500, TimeUnit.MILLISECONDS));
      assertEquals(1, standIns.get("e1", "/report").path("running").asInt());
      r.cancel(true);
      Awaitility.await().until(() -> standIns.get("e1", "/report").path("running").asInt() == 0);
      assertEquals(200, chat("id-2").statusCode());
    }

    @Test
    @DisplayName("crosses responses: id and content belong to the previous request")
    void crosses() throws Exception {
      chat("id-1");
      standIns.faults("e1", "{\"crossAnswers\":true,\"remaining\":1}");
      String other = BODY.replace("hi", "ho");
      HttpResponse<String> r = standIns.send("e1", "POST", CHAT, other, "x-request-id", "id-2");
      assertEquals("id-1", r.headers().firstValue("x-request-id").orElse(""));
    }

    @Test
    @DisplayName("runs requests up to its capacity, queues more, then rejects them as not run")
    void limitsCapacity() throws Exception {
      standIns.faults("e1", "{\"delayMs\":500}");
      CompletableFuture<HttpResponse<String>> running =
          standIns.sendAsync("e1", "POST", CHAT, BODY);
      Awaitility.await().until(() -> standIns.get("e1", "/report").path("running").asInt() == 1);
      CompletableFuture<HttpResponse<String>> waiting =
          standIns.sendAsync("e1", "POST", CHAT, BODY);
      Awaitility.await().until(() -> standIns.get("e1", "/report").path("waiting").asInt() == 1);
      HttpResponse<String> refused = chat("id-3");
      assertEquals(503, refused.statusCode());
      assertTrue(refused.headers().firstValue("x-not-run").isPresent());
      assertEquals(200, running.get(5, TimeUnit.SECONDS).statusCode());
      assertEquals(200, waiting.get(5, TimeUnit.SECONDS).statusCode());
    }

    @Test
    @DisplayName("hangs before the first byte")
    void hangs() throws Exception {
      standIns.faults("e1", "{\"hang\":true}");
      CompletableFuture<HttpResponse<String>> r = standIns.sendAsync("e1", "POST", CHAT, BODY);
      Thread.sleep(300);
      assertFalse(r.isDone());
      r.cancel(true);
    }
  }
}
