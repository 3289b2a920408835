package io.kumquatspindle.standins.endpoint;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import io.kumquatspindle.standins.http.HttpServerExchange;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;

/** A request that an engine received, as returned by {@code GET /history}. */
@JsonAutoDetect(fieldVisibility = JsonAutoDetect.Visibility.ANY)
final class RequestRecord {
  private final long timeMs = System.currentTimeMillis();
  private final String method;
  private final String path;
  private final String query;
  private final Map<String, String> headers;
  private final String bodySha256;
  private final int bodyBytes;
  private volatile String model = "";
  private volatile String outcome = "received";
  private volatile int tokens;

  RequestRecord(HttpServerExchange exchange) {
    method = exchange.method();
    path = exchange.path();
    query = exchange.query();
    headers = exchange.headers();
    bodySha256 = sha256(exchange.body());
    bodyBytes = exchange.body().length;
  }

  static String sha256(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is part of every Java platform", e);
    }
  }

  void model(String name) {
    model = name;
  }

  /**
   * Sets the outcome of the request: {@code refused}, {@code running}, {@code finished}, {@code
   * cancelled}, {@code broken}, {@code hung} or {@code silent}.
   */
  void outcome(String value) {
    outcome = value;
  }

  void tokens(int sent) {
    tokens = sent;
  }
}
