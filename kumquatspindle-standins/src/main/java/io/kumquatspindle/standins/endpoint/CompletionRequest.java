package io.kumquatspindle.standins.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import io.kumquatspindle.api.json.Json;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** The fields of a completion request that an engine uses. */
record CompletionRequest(
    boolean chat, String model, boolean stream, int tokens, int promptTokens, String digest) {
  private static final int DIGEST_CHARS = 12;
  private static final int CHARS_PER_TOKEN = 4;

  static CompletionRequest parse(String path, byte[] body, int answerTokens) throws IOException {
    JsonNode json = Json.mapper().readTree(body);
    boolean chat = path.equals("/v1/chat/completions");
    String prompt = chat ? json.path("messages").toString() : json.path("prompt").asText();
    int max = json.path("max_tokens").asInt(answerTokens);
    String sha = RequestRecord.sha256(prompt.getBytes(StandardCharsets.UTF_8));
    return new CompletionRequest(
        chat,
        json.path("model").asText(),
        json.path("stream").asBoolean(false),
        Math.max(1, Math.min(max, answerTokens)),
        Math.max(1, prompt.length() / CHARS_PER_TOKEN),
        sha.substring(0, DIGEST_CHARS));
  }

  /** Returns one token of the response, which identifies the prompt that it belongs to. */
  String token(int index) {
    return digest + ":" + index + " ";
  }
}
