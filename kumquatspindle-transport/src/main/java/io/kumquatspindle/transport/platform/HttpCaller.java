package io.kumquatspindle.transport.platform;

import io.kumquatspindle.api.json.Json;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
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
 * Makes one attempt at an HTTP call and tells whether the request can have arrived. A call that
 * times out closes its connection, so the next call gets a new one.
 */
final class HttpCaller {
  static final int OK = 200;
  static final int CONFLICT = 409;
  static final int SERVICE_UNAVAILABLE = 503;
  static final int INSUFFICIENT_STORAGE = 507;

  // The control program has a 64 MB heap; a larger answer is taken for a broken one.
  private static final long MAX_ANSWER_BYTES = 16L * 1024 * 1024;

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

  // For each client, over all its hosts: with 2, a control that polls 5 endpoints twice a second
  // opened 7 connections a second.
  private static final int MAX_IDLE_CONNECTIONS = 16;
  private static final int IDLE_SECONDS = 60;

  private final OkHttpClient client;

  /** Returns a caller that keeps connections for further calls. */
  static HttpCaller withKeptConnections(HttpTraffic traffic) {
    return new HttpCaller(MAX_IDLE_CONNECTIONS, traffic);
  }

  /** Returns a caller that makes a new connection for each call. */
  static HttpCaller withNewConnections(HttpTraffic traffic) {
    return new HttpCaller(0, traffic);
  }

  private HttpCaller(int maxIdleConnections, HttpTraffic traffic) {
    client =
        new OkHttpClient.Builder()
            .connectionPool(new ConnectionPool(maxIdleConnections, IDLE_SECONDS, TimeUnit.SECONDS))
            .protocols(List.of(Protocol.HTTP_1_1))
            .connectTimeout(CONNECT_TIMEOUT)
            // The timeout of the whole call, given with each call, is the only other one.
            .readTimeout(Duration.ZERO)
            .writeTimeout(Duration.ZERO)
            // A repeated request could append a record or carry out an order twice.
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .eventListenerFactory(call -> SentListener.of(call, traffic))
            .addNetworkInterceptor(
                // OkHttp repeats a request that is answered with 503 and "Retry-After: 0".
                chain -> {
                  Response r = chain.proceed(chain.request());
                  return r.newBuilder().removeHeader("Retry-After").build();
                })
            .build();
  }

  Exchange call(Request request, Duration timeout) {
    AtomicBoolean sent = new AtomicBoolean();
    Request tagged = request.newBuilder().tag(AtomicBoolean.class, sent).build();
    Call call = client.newCall(tagged);
    call.timeout().timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    try (Response response = call.execute()) {
      return read(response);
    } catch (IOException | RuntimeException e) {
      String reason = e.getClass().getSimpleName() + ": " + e.getMessage();
      return sent.get() ? new Exchange.Broken(reason) : new Exchange.NotSent(reason);
    }
  }

  private static Exchange read(Response response) throws IOException {
    BufferedSource source = response.body().source();
    if (source.request(MAX_ANSWER_BYTES + 1)) {
      return new Exchange.Broken("answer larger than " + MAX_ANSWER_BYTES + " bytes");
    }
    return new Exchange.Answered(response.code(), source.readByteArray());
  }

  /** Reads a JSON value; empty for an outage, another status than 200 or an unreadable answer. */
  <T> Optional<T> get(HttpUrl url, Duration timeout, Class<T> type) {
    Exchange exchange = call(new Request.Builder().url(url).build(), timeout);
    if (exchange instanceof Exchange.Answered a && a.status() == OK) {
      return decode(a.body(), type);
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

  /**
   * Sets the flag that a request carries as its tag when its first byte is about to be sent, and
   * counts the call's traffic.
   */
  private static final class SentListener extends EventListener {
    private final AtomicBoolean sent;
    private final HttpTraffic traffic;

    private SentListener(AtomicBoolean sent, HttpTraffic traffic) {
      this.sent = sent;
      this.traffic = traffic;
    }

    static EventListener of(Call call, HttpTraffic traffic) {
      return new SentListener(call.request().tag(AtomicBoolean.class), traffic);
    }

    @Override
    public void requestHeadersStart(Call call) {
      sent.set(true);
    }

    @Override
    public void connectEnd(Call call, InetSocketAddress address, Proxy proxy, Protocol protocol) {
      traffic.opened();
    }

    @Override
    public void requestHeadersEnd(Call call, Request request) {
      traffic.requestHeaders(request);
    }

    @Override
    public void requestBodyEnd(Call call, long byteCount) {
      traffic.requestBody(byteCount);
    }

    @Override
    public void responseHeadersEnd(Call call, Response response) {
      traffic.responseHeaders(response.headers());
    }

    @Override
    public void responseBodyEnd(Call call, long byteCount) {
      traffic.responseBody(byteCount);
    }
  }
}
