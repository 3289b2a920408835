package io.kumquatspindle.bench.client;

import com.fasterxml.jackson.databind.JsonNode;
import io.kumquatspindle.api.json.Json;
import java.io.IOException;
import java.util.Optional;
import okhttp3.Response;
import okio.BufferedSource;

/**
 * The response to a streamed chat request.
 *
 * @param status the HTTP status code
 * @param firstTokenNanos the arrival of the first token, as {@code System.nanoTime()}; 0 if there
 *     was none
 * @param longestGapNanos the longest time between two tokens; 0 if there were fewer than two
 * @param endNanos the end of the response, as {@code System.nanoTime()}
 * @param text the concatenated text of all tokens
 * @param complete whether the {@code [DONE]} marker was received
 * @param errorCode the code of the error response or error event, if any
 */
public record ChatReply(
    int status,
    long firstTokenNanos,
    long longestGapNanos,
    long endNanos,
    String text,
    boolean complete,
    Optional<String> errorCode) {
  private static final String DATA = "data: ";

  /**
   * Reads a response to its end.
   *
   * @param response the open HTTP response
   * @return the parsed response
   * @throws IOException if the connection fails
   */
  static ChatReply read(Response response) throws IOException {
    if (response.code() != 200) {
      JsonNode errorCode = Json.mapper().readTree(response.body().bytes()).path("error");
      Optional<String> code = Optional.of(errorCode.path("code").asText(errorCode.asText()));
      return new ChatReply(response.code(), 0, 0, System.nanoTime(), "", false, code);
    }
    BufferedSource source = response.body().source();
    StringBuilder text = new StringBuilder();
    Optional<String> errorCode = Optional.empty();
    boolean complete = false;
    long firstTokenNanos = 0;
    long lastTokenNanos = 0;
    long longestGapNanos = 0;
    for (String line = readLine(source, errorCode);
        line != null;
        line = readLine(source, errorCode)) {
      if (!line.startsWith(DATA)) {
        continue;
      }
      String data = line.substring(DATA.length());
      if (data.equals("[DONE]")) {
        complete = true;
        continue;
      }
      JsonNode event = Json.mapper().readTree(data);
      String token = event.path("choices").path(0).path("delta").path("content").asText();
      if (!token.isEmpty()) {
        long now = System.nanoTime();
        longestGapNanos =
            firstTokenNanos == 0 ? 0 : Math.max(longestGapNanos, now - lastTokenNanos);
        firstTokenNanos = firstTokenNanos == 0 ? now : firstTokenNanos;
        lastTokenNanos = now;
      }
      text.append(token);
      errorCode = errorCode.or(() -> errorCode(event));
    }
    return new ChatReply(
        200,
        firstTokenNanos,
        longestGapNanos,
        System.nanoTime(),
        text.toString(),
        complete,
        errorCode);
  }

  /**
   * Returns whether this is the complete response to the given request and to no other one.
   *
   * @param request the request
   * @return {@code true} if the text is the expected one and the end marker was received
   */
  public boolean isCompleteResponseTo(ChatRequest request) {
    return status == 200 && complete && text.equals(request.expectedText());
  }

  // After an error event the server closes the connection without terminating the body.
  private static String readLine(BufferedSource source, Optional<String> error) throws IOException {
    try {
      return source.readUtf8Line();
    } catch (IOException e) {
      if (error.isPresent()) {
        return null;
      }
      throw e;
    }
  }

  private static Optional<String> errorCode(JsonNode event) {
    return Optional.of(event.path("error").path("code").asText()).filter(s -> !s.isEmpty());
  }
}
