package io.kumquatspindle.entry.request;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.api.json.Json;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/** Encodes errors as JSON, in the one format that all error responses use. */
final class ErrorBody {
  private static final long MS_PER_SECOND = 1_000;

  private record Body(Fields error) {}

  private record Fields(
      String code,
      String message,
      String type,
      String ran,
      @JsonProperty("request_id") String requestId,
      @JsonProperty("retry_after_ms") OptionalLong retryAfterMs) {}

  private ErrorBody() {}

  static byte[] json(RequestError error, String requestId) {
    ErrorKind kind = error.kind();
    OptionalLong retry =
        kind.hasRetryAfter() ? OptionalLong.of(error.retryAfterMs()) : OptionalLong.empty();
    String type = type(kind.status());
    Fields fields =
        new Fields(
            kind.code(), error.message(), type, kind.executionStatus().code(), requestId, retry);
    return Json.encode(new Body(fields));
  }

  static Map<String, String> headers(RequestError error) {
    Map<String, String> headers = new TreeMap<>();
    headers.put("Content-Type", "application/json");
    if (error.kind().hasRetryAfter()) {
      long seconds = Math.max(1, (error.retryAfterMs() + MS_PER_SECOND - 1) / MS_PER_SECOND);
      headers.put("Retry-After", Long.toString(seconds));
    }
    return headers;
  }

  private static String type(int status) {
    return switch (status) {
      case 401 -> "authentication_error";
      case 403 -> "permission_error";
      case 429 -> "rate_limit_error";
      default -> status < 500 ? "invalid_request_error" : "server_error";
    };
  }
}
