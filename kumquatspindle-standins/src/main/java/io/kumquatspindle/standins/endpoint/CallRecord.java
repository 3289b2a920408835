package io.kumquatspindle.standins.endpoint;

import io.kumquatspindle.standins.http.HttpServerExchange;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A call that a plain service received, as returned by {@code GET /history}. */
record CallRecord(
    long timeMs,
    String method,
    String path,
    String query,
    Map<String, String> headers,
    String idempotencyKey,
    String callId,
    String body,
    boolean executed) {

  static CallRecord of(HttpServerExchange exchange, String callId, boolean executed) {
    return new CallRecord(
        System.currentTimeMillis(),
        exchange.method(),
        exchange.path(),
        exchange.query(),
        exchange.headers(),
        exchange.header("idempotency-key").orElse(""),
        callId,
        new String(exchange.body(), StandardCharsets.UTF_8),
        executed);
  }
}
