package io.kumquatspindle.bench.system;

import com.fasterxml.jackson.databind.JsonNode;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.bench.check.Observation;
import io.kumquatspindle.bench.check.Observation.End;
import io.kumquatspindle.bench.check.Observation.Reply;
import io.kumquatspindle.bench.check.RunHistory;
import io.kumquatspindle.bench.client.ChatRequest;
import io.kumquatspindle.bench.processes.SiteVm;
import io.kumquatspindle.bench.tickets.SiteTickets;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;

/** An HTTP client that records each request and its reply in a history. */
final class RecordingClient implements AutoCloseable {
  // Ends calls that never get a reply. A reply later than this would be reported as late anyway.
  private static final Duration CALL_TIMEOUT_MARGIN = Duration.ofSeconds(10);
  private static final MediaType JSON = MediaType.get("application/json");

  private final OkHttpClient client =
      new OkHttpClient.Builder()
          .retryOnConnectionFailure(false) // A transparent retry would repeat calls unrecorded.
          .connectionPool(new ConnectionPool(200, 1, TimeUnit.MINUTES))
          .build();
  private final RunHistory history;
  private final String key;

  RecordingClient(RunHistory history, String key) {
    this.history = history;
    this.key = key;
  }

  /** Sends a chat request and records it with its expected answer. */
  Observation chat(String caller, SiteVm vm, ChatRequest chat, Duration deadline) {
    Request.Builder r =
        new Request.Builder()
            .url(vm.callerUrl().resolve("/v1/chat/completions").toString())
            .post(RequestBody.create(chat.body(), JSON));
    int number =
        history.recordInvocation(
            actor(caller, vm), chat.prompt(), chat.expectedText(), deadline.toMillis());
    return send(number, r, deadline, true);
  }

  /** Sends a call to the test service. */
  Observation call(
      String caller, SiteVm vm, String callId, Optional<String> idempotencyKey, Duration deadline) {
    String path = "/services/" + SiteTickets.SERVICE + "/book?call_id=" + callId;
    Request.Builder r =
        new Request.Builder()
            .url(vm.callerUrl().resolve(path).toString())
            .post(RequestBody.create("{\"call\":\"" + callId + "\"}", JSON));
    idempotencyKey.ifPresent(k -> r.header("Idempotency-Key", k));
    int number = history.recordInvocation(actor(caller, vm), callId, "", deadline.toMillis());
    return send(number, r, deadline, false);
  }

  static String actor(String caller, SiteVm vm) {
    return caller + "@" + vm.id();
  }

  @Override
  public void close() {
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }

  private Observation send(int number, Request.Builder r, Duration deadline, boolean stream) {
    Duration timeout = deadline.plus(CALL_TIMEOUT_MARGIN);
    OkHttpClient clientWithTimeout =
        client.newBuilder().callTimeout(timeout).readTimeout(timeout).build();
    r.header("Authorization", "Bearer " + key);
    r.header("X-Request-Timeout-Ms", Long.toString(deadline.toMillis()));
    Reply reply;
    try (Response response = clientWithTimeout.newCall(r.build()).execute()) {
      reply = read(response, stream);
    } catch (IOException e) {
      reply = new Reply(End.INCOMPLETE, "", "", "", e.toString());
    }
    return history.recordReply(number, reply);
  }

  private static Reply read(Response response, boolean stream) throws IOException {
    String id = response.header("X-Request-Id", "");
    if (response.code() == 200 && stream) {
      return new CompletionStreamReader(id).read(response.body().source());
    }
    String body = response.body().string();
    if (response.code() == 200) {
      return new Reply(End.COMPLETE, id, "", "", body);
    }
    JsonNode error = Json.mapper().readTree(body).path("error");
    String code = error.path("code").asText();
    return new Reply(End.ERROR, id, code, error.path("ran").asText(), "");
  }

  /**
   * Reads a streamed completion up to its end marker, an error event or the end of the connection.
   */
  private static final class CompletionStreamReader {
    private static final String DATA = "data: ";

    private final String id;
    private final StringBuilder text = new StringBuilder();
    private long firstMs;
    private long lastMs;

    CompletionStreamReader(String id) {
      this.id = id;
    }

    Reply read(BufferedSource source) {
      try {
        for (String line = source.readUtf8Line(); line != null; line = source.readUtf8Line()) {
          if (line.equals("data: [DONE]")) {
            return reply(End.COMPLETE, "", "");
          }
          if (line.startsWith(DATA)) {
            JsonNode event = Json.mapper().readTree(line.substring(DATA.length()));
            if (event.has("error")) {
              JsonNode error = event.path("error");
              String ran = error.path("ran").asText();
              return reply(End.ERROR, error.path("code").asText(), ran);
            }
            lastMs = RunHistory.nowMs();
            firstMs = firstMs == 0 ? lastMs : firstMs;
            JsonNode choice = event.path("choices").path(0);
            text.append(choice.path("delta").path("content").asText());
          }
        }
      } catch (IOException e) {
        text.append(e);
      }
      return reply(End.INCOMPLETE, "", "");
    }

    private Reply reply(End end, String code, String ran) {
      return new Reply(end, id, code, ran, text.toString(), firstMs, lastMs);
    }
  }
}
