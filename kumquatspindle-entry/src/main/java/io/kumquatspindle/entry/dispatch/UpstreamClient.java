package io.kumquatspindle.entry.dispatch;

import io.kumquatspindle.entry.request.IncomingRequest;
import io.kumquatspindle.transport.platform.ResponseChecks;
import java.io.IOException;
import java.net.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.EventListener;
import okhttp3.HttpUrl;
import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** HTTP client for calls to endpoints. It never resends a call or reuses a connection. */
public final class UpstreamClient implements AutoCloseable {
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
  private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(10);
  private static final int MAX_CALLS = 20_000;
  private static final List<String> FORWARDED_HEADERS = List.of("content-type", "accept");
  private static final Set<String> METHODS_WITHOUT_BODY = Set.of("GET", "HEAD");
  private static final Set<String> METHODS_WITH_BODY = Set.of("POST", "PUT", "PATCH");

  private final OkHttpClient client;

  /** Creates a client that opens a connection for each call. */
  public UpstreamClient() {
    Dispatcher dispatcher = new Dispatcher();
    dispatcher.setMaxRequests(MAX_CALLS);
    dispatcher.setMaxRequestsPerHost(MAX_CALLS);
    client =
        new OkHttpClient.Builder()
            .dispatcher(dispatcher)
            // Bytes behind a response stay in the connection's buffer, where OkHttp takes them for
            // the beginning of the next response.
            .connectionPool(new ConnectionPool(0, 1, TimeUnit.SECONDS))
            .protocols(List.of(Protocol.HTTP_1_1))
            .proxy(Proxy.NO_PROXY)
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .followSslRedirects(false)
            .connectTimeout(CONNECT_TIMEOUT)
            .writeTimeout(WRITE_TIMEOUT)
            // RunningAttempts and the timer of each attempt enforce stall limits and deadlines.
            .readTimeout(Duration.ZERO)
            .eventListenerFactory(UpstreamClient::sendTracker)
            .addNetworkInterceptor(UpstreamClient::checkedWithoutRetryAfter)
            .build();
  }

  /**
   * Prepares a call.
   *
   * @param baseUrl base URL of the endpoint
   * @param pathAndQuery path and query at the endpoint
   * @param request the caller's request
   * @param attempt identifying headers of the attempt
   * @return the call, not started
   * @throws IllegalArgumentException if the request cannot be expressed in HTTP
   */
  Call prepare(
      String baseUrl, String pathAndQuery, IncomingRequest request, AttemptHeaders attempt) {
    String base = baseUrl.endsWith("/") ? baseUrl.substring(0, baseUrl.length() - 1) : baseUrl;
    Request.Builder builder = new Request.Builder().url(HttpUrl.get(base + pathAndQuery));
    for (String name : FORWARDED_HEADERS) {
      request.header(name).ifPresent(v -> builder.header(name, v));
    }
    builder.header("traceparent", attempt.traceparent());
    builder.header("x-request-id", attempt.attemptId());
    builder.header("user-agent", "kumquatspindle");
    // Prevents OkHttp from requesting compression, which would delay small parts of a stream.
    builder.header("accept-encoding", "identity");
    builder.method(request.method(), body(request));
    builder.tag(SendTracker.class, attempt.sendTracker());
    return client.newCall(builder.build());
  }

  @Override
  public void close() {
    client.dispatcher().cancelAll();
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }

  private static RequestBody body(IncomingRequest request) {
    boolean none = request.body().length == 0 && !METHODS_WITH_BODY.contains(request.method());
    return none || METHODS_WITHOUT_BODY.contains(request.method())
        ? null
        : new OneShotBody(request.body());
  }

  private static EventListener sendTracker(Call call) {
    SendTracker tracker = call.request().tag(SendTracker.class);
    return tracker == null ? EventListener.NONE : tracker;
  }

  // OkHttp resends a call after a 503 with "Retry-After: 0", even if the call must run at most
  // once.
  private static Response checkedWithoutRetryAfter(Interceptor.Chain chain) throws IOException {
    SendTracker tracker = chain.request().tag(SendTracker.class);
    Response response = chain.proceed(chain.request());
    ResponseChecks.requireAnswer(response, tracker == null || !tracker.sendFailed());
    return response.newBuilder().removeHeader("Retry-After").build();
  }
}
