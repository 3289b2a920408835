package io.kumquatspindle.standins.endpoint;

import io.kumquatspindle.standins.http.Exchange;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A call that a plain service saw, as {@code GET /history} shows it. */
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

  static CallRecord of(Exchange x, String callId, boolean executed) {
    return new CallRecord(
        System.currentTimeMillis(),
        x.method(),
        x.path(),
        x.query(),
        x.headers(),
        x.header("idempotency-key").orElse(""),
        callId,
        new String(x.body(), StandardCharsets.UTF_8),
        executed);
  }
}
