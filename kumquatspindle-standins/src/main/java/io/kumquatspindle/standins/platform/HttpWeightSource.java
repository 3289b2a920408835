package io.kumquatspindle.standins.platform;

import io.kumquatspindle.api.json.Json;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Fetches checkpoints from a simulated weight store in another process. */
public final class HttpWeightSource implements WeightSource {
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final URI uri;

  /**
   * Creates a source.
   *
   * @param baseUrl base URL of the weight store
   */
  public HttpWeightSource(String baseUrl) {
    this.uri = URI.create(baseUrl + "/transfers");
  }

  @Override
  public CompletableFuture<Void> fetch(String artifact, double megabytes) {
    byte[] body = Json.encode(Map.of("artifact", artifact, "megabytes", megabytes));
    HttpRequest r =
        HttpRequest.newBuilder(uri).POST(HttpRequest.BodyPublishers.ofByteArray(body)).build();
    return client
        .sendAsync(r, HttpResponse.BodyHandlers.discarding())
        .thenAccept(HttpWeightSource::requireOk);
  }

  private static void requireOk(HttpResponse<Void> response) {
    if (response.statusCode() != 200) {
      throw new IllegalStateException(
          "weight store responded with HTTP status " + response.statusCode());
    }
  }
}
