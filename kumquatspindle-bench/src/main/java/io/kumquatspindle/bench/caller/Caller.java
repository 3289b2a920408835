package io.kumquatspindle.bench.caller;

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

/** A caller of entries or, with the same requests, of engines. */
public final class Caller implements AutoCloseable {
  private static final MediaType JSON = MediaType.get("application/json");
  private static final int MAX_REQUESTS_AT_ONCE = 10_000;
  private static final int MAX_IDLE_CONNECTIONS = 2_000;

  private final OkHttpClient client;

  /**
   * Creates a caller.
   *
   * @param timeout longest time of a request
   */
  public Caller(Duration timeout) {
    Dispatcher dispatcher = new Dispatcher();
    dispatcher.setMaxRequests(MAX_REQUESTS_AT_ONCE);
    dispatcher.setMaxRequestsPerHost(MAX_REQUESTS_AT_ONCE);
    client =
        new OkHttpClient.Builder()
            .dispatcher(dispatcher)
            .connectionPool(new ConnectionPool(MAX_IDLE_CONNECTIONS, 1, TimeUnit.MINUTES))
            .retryOnConnectionFailure(false) // A retry would hide a failure from the bench.
            .callTimeout(timeout)
            .readTimeout(timeout)
            .build();
  }

  /**
   * Sends a request and waits for the whole answer.
   *
   * @param base base URL of an entry or an engine
   * @param key the caller's key, if it shows one
   * @param request the request
   * @return the answer
   * @throws IOException if the connection fails
   */
  public ChatReply send(URI base, Optional<String> key, ChatRequest request) throws IOException {
    try (Response r = client.newCall(http(base, key, request)).execute()) {
      return ChatReply.read(r);
    }
  }

  /**
   * Sends a request without waiting.
   *
   * @param base base URL of an entry or an engine
   * @param key the caller's key, if it shows one
   * @param request the request
   * @return the answer, or exceptionally an {@code IOException}
   */
  public CompletableFuture<ChatReply> sendAsync(
      URI base, Optional<String> key, ChatRequest request) {
    CompletableFuture<ChatReply> result = new CompletableFuture<>();
    client.newCall(http(base, key, request)).enqueue(new Completer(result));
    return result;
  }

  /**
   * Fetches a page.
   *
   * @param page the page's URL
   * @param key the caller's key, if it shows one
   * @return status and body
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

  private static Request http(URI base, Optional<String> key, ChatRequest request) {
    Request.Builder b =
        new Request.Builder()
            .url(base.resolve("/v1/chat/completions").toString())
            .post(RequestBody.create(request.body(), JSON));
    key.ifPresent(k -> b.header("Authorization", "Bearer " + k));
    return b.build();
  }

  /**
   * A fetched page.
   *
   * @param status the HTTP status
   * @param body the body
   */
  public record Page(int status, String body) {}

  private static final class Completer implements Callback {
    private final CompletableFuture<ChatReply> result;

    Completer(CompletableFuture<ChatReply> result) {
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
