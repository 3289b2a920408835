package io.kumquatspindle.transport.platform;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.kumquatspindle.api.metrics.MetricsText;
import okhttp3.Headers;
import okhttp3.Request;

/**
 * Counts the HTTP traffic with one service. Thread-safe.
 *
 * <p>Byte counts include request and status lines, headers and bodies, but not chunk sizes.
 */
public final class HttpMetrics {
  // The length of "HTTP/1.1 200 OK" with two line ends, and of the fixed parts of a request line.
  private static final int STATUS_LINE_BYTES = 19;
  private static final int REQUEST_LINE_BYTES = 14;

  private final Counter calls;
  private final Counter bytesIn;
  private final Counter bytesOut;
  private final Counter connections;

  private HttpMetrics(Counter calls, Counter bytesIn, Counter bytesOut, Counter connections) {
    this.calls = calls;
    this.bytesIn = bytesIn;
    this.bytesOut = bytesOut;
    this.connections = connections;
  }

  /**
   * Registers the counters of a service.
   *
   * @param registry the registry for the counters
   * @param service the value of the label {@code service}
   * @return the metrics
   */
  public static HttpMetrics register(MetricRegistry registry, String service) {
    return new HttpMetrics(
        registry.counter(MetricsText.name("http_calls", "service", service)),
        registry.counter(MetricsText.name("http_bytes_in", "service", service)),
        registry.counter(MetricsText.name("http_bytes_out", "service", service)),
        registry.counter(MetricsText.name("http_connections", "service", service)));
  }

  /** Returns metrics that are not registered. */
  static HttpMetrics unregistered() {
    return new HttpMetrics(new Counter(), new Counter(), new Counter(), new Counter());
  }

  void connectionOpened() {
    connections.inc();
  }

  void requestHeadersSent(Request request) {
    calls.inc();
    int path = request.url().encodedPath().length();
    String query = request.url().encodedQuery();
    int requestLineBytes = REQUEST_LINE_BYTES + path + (query == null ? 0 : query.length());
    bytesOut.inc(requestLineBytes + request.method().length() + size(request.headers()));
  }

  void requestBodySent(long bytes) {
    bytesOut.inc(bytes);
  }

  void responseHeadersReceived(Headers headers) {
    bytesIn.inc(STATUS_LINE_BYTES + size(headers));
  }

  void responseBodyReceived(long bytes) {
    bytesIn.inc(bytes);
  }

  private static long size(Headers headers) {
    return headers.byteCount();
  }
}
