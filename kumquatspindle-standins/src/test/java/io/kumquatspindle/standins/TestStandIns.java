package io.kumquatspindle.standins;

import com.fasterxml.jackson.databind.JsonNode;
import io.kumquatspindle.api.json.Json;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Runs the stand-ins of a settings text, and is an HTTP client for them. */
final class TestStandIns implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final StandIns standIns;
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  TestStandIns(Path dir, String settings) throws Exception {
    Path file = dir.resolve("standins.ini");
    Files.writeString(file, settings);
    standIns = StandIns.start(file);
  }

  int port(String name) {
    return standIns.ports().get(name);
  }

  HttpRequest request(String name, String method, String path, String body, String... headers) {
    HttpRequest.Builder b =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port(name) + path))
            .method(method, BodyPublishers.ofString(body))
            .timeout(TIMEOUT);
    if (headers.length > 0) {
      b.headers(headers);
    }
    return b.build();
  }

  HttpResponse<String> send(String name, String method, String path, String body, String... headers)
      throws IOException, InterruptedException {
    return client.send(request(name, method, path, body, headers), BodyHandlers.ofString());
  }

  CompletableFuture<HttpResponse<String>> sendAsync(
      String name, String method, String path, String body) {
    return client.sendAsync(request(name, method, path, body), BodyHandlers.ofString());
  }

  int status(String name, String method, String path, String body)
      throws IOException, InterruptedException {
    return send(name, method, path, body).statusCode();
  }

  JsonNode get(String name, String path) throws IOException, InterruptedException {
    return Json.mapper().readTree(send(name, "GET", path, "").body());
  }

  void faults(String name, String json) throws IOException, InterruptedException {
    HttpResponse<String> r = send(name, "POST", "/faults", json);
    if (r.statusCode() != 200) {
      throw new IOException(r.body());
    }
  }

  int load(String engine, String artifact, String model, long mb, long fencing)
      throws IOException, InterruptedException {
    return status(engine, "POST", "/orders/load", loadBody(artifact, model, mb, fencing));
  }

  static String loadBody(String artifact, String model, long mb, long fencing) {
    return String.format(
        "{\"artifact\":\"%s\",\"model\":\"%s\",\"memoryMb\":%d,\"fencingNumber\":%d}",
        artifact, model, mb, fencing);
  }

  @Override
  public void close() {
    standIns.close();
  }
}
