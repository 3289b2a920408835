package io.kumquatspindle.bench.client;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** HTTP client that sends chat requests to entry processes or directly to engines. */
public final class ChatClient implements AutoCloseable {
  private static final MediaType JSON = MediaType.get("application/json");
  private static final int MAX_CONCURRENT_REQUESTS = 10_000;
  private static final int MAX_IDLE_CONNECTIONS = 2_000;

  private final OkHttpClient client;

  /**
   * Creates a client.
   *
   * @param timeout the maximum duration of a call, and of each wait for data within it
   */
  public ChatClient(Duration timeout) {
    Dispatcher dispatcher = new Dispatcher();
    dispatcher.setMaxRequests(MAX_CONCURRENT_REQUESTS);
    dispatcher.setMaxRequestsPerHost(MAX_CONCURRENT_REQUESTS);
    client =
        new OkHttpClient.Builder()
            .dispatcher(dispatcher)
            .connectionPool(new ConnectionPool(MAX_IDLE_CONNECTIONS, 1, TimeUnit.MINUTES))
            .retryOnConnectionFailure(false) // A retry would hide failures from the measurement.
            .callTimeout(timeout)
            .readTimeout(timeout)
            .build();
  }

  /**
   * Sends a chat request and waits for the complete response.
   *
   * @param base the base URL of an entry process or engine
   * @param key the API key to send, if any
   * @param request the request
   * @return the response
   * @throws IOException if the connection fails
   */
  public ChatReply send(URI base, Optional<String> key, ChatRequest request) throws IOException {
    try (Response r = client.newCall(chatCall(base, key, request)).execute()) {
      return ChatReply.read(r);
    }
  }

  /**
   * Sends a chat request asynchronously.
   *
   * @param base the base URL of an entry process or engine
   * @param key the API key to send, if any
   * @param request the request
   * @return a future with the response, which fails with an {@code IOException} if the connection
   *     does
   */
  public CompletableFuture<ChatReply> sendAsync(
      URI base, Optional<String> key, ChatRequest request) {
    CompletableFuture<ChatReply> result = new CompletableFuture<>();
    client.newCall(chatCall(base, key, request)).enqueue(new ReplyCallback(result));
    return result;
  }

  /**
   * Sends a GET request.
   *
   * @param page the URL
   * @param key the API key to send, if any
   * @return the status and body of the response
   * @throws IOException if the connection fails
   */
  public Page get(URI page, Optional<String> key) throws IOException {
    Request.Builder b = new Request.Builder().url(page.toString());
    key.ifPresent(k -> b.header("Authorization", "Bearer " + k));
    try (Response r = client.newCall(b.build()).execute()) {
      return new Page(r.code(), r.body().string());
    }
  }

  @Override
  public void close() {
    client.dispatcher().cancelAll();
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }

  private static Request chatCall(URI base, Optional<String> key, ChatRequest request) {
    Request.Builder b =
        new Request.Builder()
            .url(base.resolve("/v1/chat/completions").toString())
            .post(RequestBody.create(request.body(), JSON));
    key.ifPresent(k -> b.header("Authorization", "Bearer " + k));
    return b.build();
  }

  /**
   * The response to a GET request.
   *
   * @param status the HTTP status code
   * @param body the response body
   */
  public record Page(int status, String body) {}

  private static final class ReplyCallback implements Callback {
    private final CompletableFuture<ChatReply> result;

    ReplyCallback(CompletableFuture<ChatReply> result) {
      this.result = result;
    }

    @Override
    public void onFailure(Call call, IOException e) {
      result.completeExceptionally(e);
    }

    @Override
    public void onResponse(Call call, Response response) {
      try (response) {
        result.complete(ChatReply.read(response));
      } catch (IOException e) {
        result.completeExceptionally(e);
      }
    }
  }
}
