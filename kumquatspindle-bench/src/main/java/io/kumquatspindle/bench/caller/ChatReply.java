package io.kumquatspindle.bench.caller;

import com.fasterxml.jackson.databind.JsonNode;
import io.kumquatspindle.api.json.Json;
import java.io.IOException;
import java.util.Optional;
import okhttp3.Response;
import okio.BufferedSource;

/**
 * The answer to a streamed chat request.
 *
 * @param status the HTTP status
 * @param firstTokenNanos time of the first token, as {@code System.nanoTime()}; 0 if none came
 * @param longestGapNanos longest time between two tokens; 0 if there were fewer than two
 * @param endNanos time of the end, as {@code System.nanoTime()}
 * @param text the text of all tokens
 * @param complete whether the end marker came
 * @param errorCode the code of an error answer or error event
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
   * Reads an answer to its end.
   *
   * @param response the response, open
   * @return the answer
   * @throws IOException if the connection fails
   */
  static ChatReply read(Response response) throws IOException {
    if (response.code() != 200) {
      JsonNode error = Json.mapper().readTree(response.body().bytes()).path("error");
      Optional<String> code = Optional.of(error.path("code").asText(error.asText()));
      return new ChatReply(response.code(), 0, 0, System.nanoTime(), "", false, code);
    }
    BufferedSource source = response.body().source();
    StringBuilder text = new StringBuilder();
    Optional<String> error = Optional.empty();
    boolean complete = false;
    long first = 0;
    long previous = 0;
    long gap = 0;
    for (String line = line(source, error); line != null; line = line(source, error)) {
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
        gap = first == 0 ? 0 : Math.max(gap, now - previous);
        first = first == 0 ? now : first;
        previous = now;
      }
      text.append(token);
      error = error.or(() -> errorCode(event));
    }
    return new ChatReply(200, first, gap, System.nanoTime(), text.toString(), complete, error);
  }

  /**
   * Tells whether this is the whole answer to a request, and to no other.
   *
   * @param request the request
   * @return whether the text is the expected one and the end marker came
   */
  public boolean answers(ChatRequest request) {
    return status == 200 && complete && text.equals(request.expectedText());
  }

  // After an error event the connection is closed without the end of the body.
  private static String line(BufferedSource source, Optional<String> error) throws IOException {
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
