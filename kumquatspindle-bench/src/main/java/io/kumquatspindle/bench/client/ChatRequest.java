package io.kumquatspindle.bench.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kumquatspindle.api.json.Json;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A streamed chat request.
 *
 * @param model the name of the model
 * @param prompt the content of the user message
 * @param maxTokens the maximum number of tokens in the response
 */
public record ChatRequest(String model, String prompt, int maxTokens) {
  // The engine stand-ins prefix each token with this many hex digits of the hash of the messages.
  private static final int DIGEST_CHARS = 12;

  /**
   * Returns the HTTP request body.
   *
   * @return the JSON document, encoded in UTF-8
   */
  public byte[] body() {
    return Json.encode(toJson());
  }

  /**
   * Returns the text with which an engine stand-in responds to this request and to no other one.
   *
   * @return the expected text
   */
  public String expectedText() {
    StringBuilder s = new StringBuilder();
    for (int i = 0; i < maxTokens; i++) {
      s.append(messagesDigest()).append(':').append(i).append(' ');
    }
    return s.toString();
  }

  private String messagesDigest() {
    try {
      byte[] messages = toJson().path("messages").toString().getBytes(StandardCharsets.UTF_8);
      byte[] sha = MessageDigest.getInstance("SHA-256").digest(messages);
      return HexFormat.of().formatHex(sha).substring(0, DIGEST_CHARS);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is part of every Java platform", e);
    }
  }

  private JsonNode toJson() {
    ObjectNode root = Json.mapper().createObjectNode();
    root.put("model", model).put("stream", true).put("max_tokens", maxTokens);
    root.putArray("messages").addObject().put("role", "user").put("content", prompt);
    return root;
  }
}
