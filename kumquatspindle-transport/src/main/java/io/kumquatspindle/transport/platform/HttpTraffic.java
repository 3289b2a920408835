package io.kumquatspindle.transport.platform;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.kumquatspindle.api.metrics.MetricsText;
import okhttp3.Headers;
import okhttp3.Request;

/**
 * Counts the HTTP traffic of one kind of service. Safe for use by several threads.
 *
 * <p>Bytes are those of request and status lines, headers and bodies. Chunk sizes are not counted.
 */
public final class HttpTraffic {
  // "HTTP/1.1 200 OK" with two line ends, and the parts of a request line around its path.
  private static final int STATUS_LINE_BYTES = 19;
  private static final int REQUEST_LINE_BYTES = 14;

  private final Counter calls;
  private final Counter bytesIn;
  private final Counter bytesOut;
  private final Counter connections;

  private HttpTraffic(Counter calls, Counter bytesIn, Counter bytesOut, Counter connections) {
    this.calls = calls;
    this.bytesIn = bytesIn;
    this.bytesOut = bytesOut;
    this.connections = connections;
  }

  /**
   * Registers the counters of a service.
   *
   * @param registry where the counters are registered
   * @param service name of the service, the value of the label {@code service}
   * @return the counters
   */
  public static HttpTraffic of(MetricRegistry registry, String service) {
    return new HttpTraffic(
        registry.counter(MetricsText.name("http_calls", "service", service)),
        registry.counter(MetricsText.name("http_bytes_in", "service", service)),
        registry.counter(MetricsText.name("http_bytes_out", "service", service)),
        registry.counter(MetricsText.name("http_connections", "service", service)));
  }

  /** Returns counters that are registered nowhere. */
  static HttpTraffic unregistered() {
    return new HttpTraffic(new Counter(), new Counter(), new Counter(), new Counter());
  }

  void opened() {
    connections.inc();
  }

  void requestHeaders(Request request) {
    calls.inc();
    int path = request.url().encodedPath().length();
    String query = request.url().encodedQuery();
    int line = REQUEST_LINE_BYTES + path + (query == null ? 0 : query.length());
    bytesOut.inc(line + request.method().length() + size(request.headers()));
  }

  void requestBody(long bytes) {
    bytesOut.inc(bytes);
  }

  void responseHeaders(Headers headers) {
    bytesIn.inc(STATUS_LINE_BYTES + size(headers));
  }

  void responseBody(long bytes) {
    bytesIn.inc(bytes);
  }

  private static long size(Headers headers) {
    return headers.byteCount();
  }
}
