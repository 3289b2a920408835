package io.kumquatspindle.bench.system;

import com.fasterxml.jackson.databind.JsonNode;
import io.kumquatspindle.api.json.Json;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;

/** Sends HTTP requests to the entries, controls and stand-ins of a test site. */
final class Http {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final HttpClient CLIENT =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  private Http() {}

  /** A response; status 0, with the exception as its body, if there was none. */
  record Reply(int status, String body) {
    /** Returns the code of an error response, or an empty string. */
    String errorCode() {
      return error("code");
    }

    /** Returns whether the request ran according to an error response, or an empty string. */
    String ran() {
      return error("ran");
    }

    private String error(String field) {
      try {
        return Json.mapper().readTree(body).path("error").path(field).asText();
      } catch (IOException e) {
        return "";
      }
    }
  }

  static Reply get(URI uri, Map<String, String> headers, Duration timeout) {
    return send(HttpRequest.newBuilder(uri).GET(), headers, timeout);
  }

  static Reply post(URI uri, Map<String, String> headers, String body) {
    HttpRequest.Builder b =
        HttpRequest.newBuilder(uri)
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body));
    return send(b, headers, TIMEOUT);
  }

  static Map<String, String> authorization(String key) {
    return Map.of("Authorization", "Bearer " + key);
  }

  static JsonNode getJson(URI uri) throws IOException {
    return Json.mapper().readTree(get(uri, Map.of(), TIMEOUT).body());
  }

  /** Replaces the injected faults of a stand-in. */
  static void setFaults(URI standIn, String json) {
    Reply r = post(standIn.resolve("/faults"), Map.of(), json);
    if (r.status() != 200) {
      throw new IllegalStateException("stand-in rejected the faults: " + r);
    }
  }

  private static Reply send(HttpRequest.Builder b, Map<String, String> headers, Duration timeout) {
    headers.forEach(b::header);
    try {
      HttpResponse<String> r =
          CLIENT.send(b.timeout(timeout).build(), HttpResponse.BodyHandlers.ofString());
      return new Reply(r.statusCode(), r.body());
    } catch (IOException e) {
      return new Reply(0, String.valueOf(e));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Reply(0, "interrupted");
    }
  }
}
