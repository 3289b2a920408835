package io.kumquatspindle.transport.platform;

import io.kumquatspindle.api.json.Json;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.ConnectionPool;
import okhttp3.EventListener;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.Response;
import okio.BufferedSource;

/**
 * An HTTP client that sends each request at most once and reports whether it can have reached the
 * server. A call that times out closes its connection, so the next call opens a new one.
 */
final class SingleAttemptHttpClient {
  static final int OK = 200;
  static final int CONFLICT = 409;
  static final int SERVICE_UNAVAILABLE = 503;
  static final int INSUFFICIENT_STORAGE = 507;

  // The control program has a 64 MB heap; a larger response is treated as incomplete.
  private static final long MAX_RESPONSE_BYTES = 16L * 1024 * 1024;

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

  // Applies to all hosts of a client together. With 2 idle connections, a control program that
  // polls 5 endpoints twice a second opened 7 connections a second.
  private static final int MAX_IDLE_CONNECTIONS = 16;
  private static final int MAX_IDLE_SECONDS = 60;

  private final OkHttpClient client;

  /** Returns a client that reuses connections. */
  static SingleAttemptHttpClient withConnectionPool(HttpMetrics metrics) {
    return new SingleAttemptHttpClient(MAX_IDLE_CONNECTIONS, metrics);
  }

  /** Returns a client that opens a new connection for each call. */
  static SingleAttemptHttpClient withoutConnectionReuse(HttpMetrics metrics) {
    return new SingleAttemptHttpClient(0, metrics);
  }

  private SingleAttemptHttpClient(int maxIdleConnections, HttpMetrics metrics) {
    client =
        new OkHttpClient.Builder()
            .connectionPool(
                new ConnectionPool(maxIdleConnections, MAX_IDLE_SECONDS, TimeUnit.SECONDS))
            .protocols(List.of(Protocol.HTTP_1_1))
            .connectTimeout(CONNECT_TIMEOUT)
            // Apart from the connect timeout, only the per-call timeout applies.
            .readTimeout(Duration.ZERO)
            .writeTimeout(Duration.ZERO)
            // A retry could append a record or execute an order twice.
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .eventListenerFactory(call -> CallListener.of(call, metrics))
            .addNetworkInterceptor(
                chain -> {
                  CallState state = chain.request().tag(CallState.class);
                  Response r = chain.proceed(chain.request());
                  ResponseChecks.requireAnswer(r, !state.writeFailed);
                  // OkHttp retries a request after a 503 response with "Retry-After: 0".
                  return r.newBuilder().removeHeader("Retry-After").build();
                })
            .build();
  }

  HttpResult call(Request request, Duration timeout) {
    CallState state = new CallState();
    Request tagged = request.newBuilder().tag(CallState.class, state).build();
    Call call = client.newCall(tagged);
    call.timeout().timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    try (Response response = call.execute()) {
      return read(response);
    } catch (IOException | RuntimeException e) {
      String reason = e.getClass().getSimpleName() + ": " + e.getMessage();
      return state.sent ? new HttpResult.Incomplete(reason) : new HttpResult.NotSent(reason);
    }
  }

  private static HttpResult read(Response response) throws IOException {
    BufferedSource source = response.body().source();
    if (source.request(MAX_RESPONSE_BYTES + 1)) {
      return new HttpResult.Incomplete("response larger than " + MAX_RESPONSE_BYTES + " bytes");
    }
    return new HttpResult.Completed(response.code(), source.readByteArray());
  }

  /**
   * Fetches a JSON value; empty if the call fails, the status is not 200 or the JSON is invalid.
   */
  <T> Optional<T> get(HttpUrl url, Duration timeout, Class<T> type) {
    HttpResult result = call(new Request.Builder().url(url).build(), timeout);
    if (result instanceof HttpResult.Completed completed && completed.status() == OK) {
      return decode(completed.body(), type);
    }
    return Optional.empty();
  }

  static <T> Optional<T> decode(byte[] json, Class<T> type) {
    try {
      return Optional.ofNullable(Json.decode(json, type));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /** How far a request has been sent; attached to it as its tag. */
  private static final class CallState {
    private volatile boolean sent;
    private volatile boolean writeFailed;
  }

  /** Updates the state of a call, just before its first byte is sent, and the traffic metrics. */
  private static final class CallListener extends EventListener {
    private final CallState state;
    private final HttpMetrics metrics;

    private CallListener(CallState state, HttpMetrics metrics) {
      this.state = state;
      this.metrics = metrics;
    }

    static EventListener of(Call call, HttpMetrics metrics) {
      return new CallListener(call.request().tag(CallState.class), metrics);
    }

    @Override
    public void requestHeadersStart(Call call) {
      state.sent = true;
    }

    @Override
    public void requestFailed(Call call, IOException e) {
      state.writeFailed = true;
    }

    @Override
    public void connectEnd(Call call, InetSocketAddress address, Proxy proxy, Protocol protocol) {
      metrics.connectionOpened();
    }

    @Override
    public void requestHeadersEnd(Call call, Request request) {
      metrics.requestHeadersSent(request);
    }

    @Override
    public void requestBodyEnd(Call call, long byteCount) {
      metrics.requestBodySent(byteCount);
    }

    @Override
    public void responseHeadersEnd(Call call, Response response) {
      metrics.responseHeadersReceived(response.headers());
    }

    @Override
    public void responseBodyEnd(Call call, long byteCount) {
      metrics.responseBodyReceived(byteCount);
    }
  }
}
